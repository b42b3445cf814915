package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// The framing of streamed responses.
const (
	// eventStream is the content type of server-sent events.
	eventStream = "text/event-stream"
	// endOfStream is the last event of a complete stream.
	endOfStream = "data: [DONE]\n\n"
	// firstErrorStatus is the lowest HTTP status of a response that is forwarded as a whole rather than as a
	// stream.
	firstErrorStatus = 300
)

// errSink means that the sink did not accept the response.
var errSink = errors.New("sink does not accept the response")

// relayPieces forwards the pieces as server-sent events as they arrive.
func (transaction *transaction) relayPieces(leg *leg, begun func()) error {
	var frame []byte
	for {
		piece, err := leg.stream.Next(leg.ctx)
		if errors.Is(err, io.EOF) {
			return transaction.finish(begun)
		}
		if err != nil {
			return err
		}
		if piece.Index <= transaction.last {
			continue
		}
		if piece.Index != transaction.last+1 {
			return upstream.ErrTruncated
		}
		if err := transaction.beginResponse(begun); err != nil {
			return err
		}
		frame = appendEvent(frame[:0], piece)
		if err := transaction.sink.Chunk(frame); err != nil {
			return errSink
		}
		transaction.last = piece.Index
		transaction.version, transaction.release = leg.reservation.candidate.Version, leg.reservation.candidate.Release
		leg.handover.advance(piece.Index)
		if transaction.migrate(leg) {
			return errMigrate
		}
	}
}

// beginResponse begins the stream to the caller unless it has begun.
func (transaction *transaction) beginResponse(begun func()) error {
	begun()
	if transaction.sink.Begun() {
		return nil
	}
	if err := transaction.sink.Begin(http.StatusOK, eventStream); err != nil {
		return errSink
	}
	return nil
}

// finish ends a complete stream.
func (transaction *transaction) finish(begun func()) error {
	if err := transaction.beginResponse(begun); err != nil {
		return err
	}
	if err := transaction.sink.Chunk([]byte(endOfStream)); err != nil {
		return errSink
	}
	return nil
}

// appendEvent appends the piece as one event; each line of its data becomes one data line.
func appendEvent(frame []byte, piece upstream.Piece) []byte {
	frame = append(frame, "id: "...)
	frame = strconv.AppendInt(frame, int64(piece.Index), 10)
	frame = append(frame, '\n')
	rest := piece.Data
	for more := true; more; {
		var line []byte
		line, rest, more = bytes.Cut(rest, []byte{'\n'})
		frame = append(frame, "data: "...)
		frame = append(frame, line...)
		frame = append(frame, '\n')
	}
	return append(frame, '\n')
}

// sendError sends the failure as the last event of a stream that has begun.
func (transaction *transaction) sendError(failure *outcome.Error) {
	entry := failure.Kind.Entry()
	body, err := json.Marshal(struct {
		Kind       string
		Outcome    outcome.Execution
		Message    string
		RetryAfter float64
	}{entry.Name, entry.Execution, failure.Message, failure.RetryAfter.Seconds()})
	if err != nil || !transaction.req.Stream {
		return
	}
	// A failed write means that the caller has disconnected, which is reported by its context.
	_ = transaction.sink.Chunk([]byte("event: error\ndata: " + string(body) + "\n\n"))
}
