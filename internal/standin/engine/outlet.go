package engine

import (
	"io"
	"net/http"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/answer"
)

// outlet writes one stream to one connection.
type outlet struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	job     *job
	mine    *owner
	shown   string
	sent    int
	buffer  []byte
	// crossed states that pieces carry a foreign identifier from the third on; cut that the stream ends early.
	crossed, cut bool
	quietSince   time.Time
}

func (out *outlet) stream() {
	server := out.server
	out.crossed = server.ConsumeFault(func(faults *Faults) *int { return &faults.CrossedPieces })
	out.cut = server.ConsumeFault(func(faults *Faults) *int { return &faults.Truncated })
	out.writer.Header().Set("Content-Type", "text/event-stream")
	server.writeLoad(out.writer, "X-Load", out.job)
	out.writer.WriteHeader(http.StatusOK)
	out.flush()
	ticker := server.clock.NewTicker(server.heartbeatEvery())
	defer ticker.Stop()
	for out.step() {
		select {
		case <-out.mine.changed:
		case <-ticker.C():
			out.heartbeat()
		case <-out.job.ctx.Done():
			cutIfIncomplete(out.job)
		case <-out.request.Context().Done():
			return
		}
	}
}

// step writes what is there and reports whether more follows.
func (out *outlet) step() bool {
	produced, ended, owned := out.job.progress(out.mine)
	if !owned {
		answer.AbortConnection()
	}
	if out.sent < produced {
		out.pieces(produced)
	}
	if out.cut && out.sent*2 >= out.job.total {
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

func (out *outlet) pieces(produced int) {
	out.buffer = out.buffer[:0]
	for out.sent < produced {
		out.sent++
		out.buffer = out.job.appendPiece(out.buffer, out.id(), out.sent)
	}
	_, _ = out.writer.Write(out.buffer)
	out.flush()
}

// id returns the identifier that the next piece carries.
func (out *outlet) id() string {
	const crossedFrom = 3
	if out.crossed && out.sent >= crossedFrom {
		return foreignID
	}
	return out.shown
}

func (out *outlet) heartbeat() {
	now := out.server.clock.Now()
	if now.Sub(out.quietSince) < out.server.settings.Heartbeat {
		return
	}
	_, _ = io.WriteString(out.writer, ": heartbeat\n\n")
	out.flush()
}

func (out *outlet) flush() {
	out.quietSince = out.server.clock.Now()
	_ = http.NewResponseController(out.writer).Flush()
}
