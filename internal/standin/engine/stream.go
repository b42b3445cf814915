package engine

import (
	"io"
	"net/http"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// streamWriter writes the stream of one job to one connection.
type streamWriter struct {
	server     *Server
	writer     http.ResponseWriter
	request    *http.Request
	job        *job
	own        *connection
	responseID string
	sent       int
	buffer     []byte
	// mismatched makes chunks carry a foreign identifier from the third on; truncated ends the stream early.
	mismatched, truncated bool
	lastWrite             time.Time
}

func (out *streamWriter) stream() {
	server := out.server
	out.mismatched = server.ConsumeFault(func(faults *Faults) *int { return &faults.CrossedPieces })
	out.truncated = server.ConsumeFault(func(faults *Faults) *int { return &faults.Truncated })
	out.writer.Header().Set("Content-Type", "text/event-stream")
	server.writeLoad(out.writer, "X-Load", out.job)
	out.writer.WriteHeader(http.StatusOK)
	out.flush()
	ticker := server.clock.NewTicker(server.heartbeatInterval())
	defer ticker.Stop()
	for out.writeAvailable() {
		select {
		case <-out.own.changed:
		case <-ticker.C():
			out.heartbeat()
		case <-out.job.ctx.Done():
			abortIfIncomplete(out.job)
		case <-out.request.Context().Done():
			return
		}
	}
}

// writeAvailable writes the tokens produced so far and reports whether more follow.
func (out *streamWriter) writeAvailable() bool {
	produced, ended, current := out.job.progress(out.own)
	if !current {
		answer.AbortConnection()
	}
	if out.sent < produced {
		out.writeChunks(produced)
	}
	if out.truncated && out.sent*2 >= out.job.total {
		return false
	}
	if !ended {
		return true
	}
	if out.sent < out.job.total {
		answer.AbortConnection()
	}
	_, _ = io.WriteString(out.writer, "data: [DONE]\n\n")
	out.server.writeLoad(out.writer, http.TrailerPrefix+"X-Load", out.job)
	return false
}

func (out *streamWriter) writeChunks(produced int) {
	out.buffer = out.buffer[:0]
	for out.sent < produced {
		out.sent++
		out.buffer = out.job.appendChunk(out.buffer, out.id(), out.sent)
	}
	_, _ = out.writer.Write(out.buffer)
	out.flush()
}

// id returns the request identifier that the next chunk carries.
func (out *streamWriter) id() string {
	const firstMismatched = 3
	if out.mismatched && out.sent >= firstMismatched {
		return mismatchedID
	}
	return out.responseID
}

func (out *streamWriter) heartbeat() {
	now := out.server.clock.Now()
	if now.Sub(out.lastWrite) < out.server.settings.Heartbeat {
		return
	}
	_, _ = io.WriteString(out.writer, ": heartbeat\n\n")
	out.flush()
}

func (out *streamWriter) flush() {
	out.lastWrite = out.server.clock.Now()
	_ = http.NewResponseController(out.writer).Flush()
}
