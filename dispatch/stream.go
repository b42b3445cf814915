package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// The framing of streamed answers.
const (
	// eventStream is the content type of server-sent events.
	eventStream = "text/event-stream"
	// endOfStream is the last event of a complete stream.
	endOfStream = "data: [DONE]\n\n"
	// firstErrorStatus is the first HTTP status of an answer that is passed on whole.
	firstErrorStatus = 300
)

// errSink means that the caller did not take the answer.
var errSink = errors.New("caller does not take the answer")

// relayPieces passes the pieces on as server-sent events as they come.
func (journey *journey) relayPieces(ctx context.Context, stream upstream.Stream, place *place, begun func()) error {
	var frame []byte
	for {
		piece, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return journey.finish(begun)
		}
		if err != nil {
			return err
		}
		if piece.Index <= journey.last {
			continue
		}
		if piece.Index != journey.last+1 {
			return upstream.ErrTruncated
		}
		if err := journey.begin(begun); err != nil {
			return err
		}
		frame = appendEvent(frame[:0], piece)
		if err := journey.sink.Chunk(frame); err != nil {
			return errSink
		}
		journey.last = piece.Index
		if journey.departing(place) && journey.export(ctx, place) {
			return errMove
		}
	}
}

// begin begins the stream to the caller if it has not begun.
func (journey *journey) begin(begun func()) error {
	begun()
	if journey.sink.Begun() {
		return nil
	}
	if err := journey.sink.Begin(http.StatusOK, eventStream); err != nil {
		return errSink
	}
	return nil
}

// finish ends a complete stream.
func (journey *journey) finish(begun func()) error {
	if err := journey.begin(begun); err != nil {
		return err
	}
	if err := journey.sink.Chunk([]byte(endOfStream)); err != nil {
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

// tell sends the failure as the last event of a stream that began.
func (journey *journey) tell(failure *outcome.Error) {
	entry := failure.Kind.Entry()
	body, err := json.Marshal(struct {
		Kind       string
		Outcome    outcome.Execution
		Message    string
		RetryAfter float64
	}{entry.Name, entry.Execution, failure.Message, failure.RetryAfter.Seconds()})
	if err != nil || !journey.req.Stream {
		return
	}
	// A caller that does not take the event is gone, which its context tells.
	_ = journey.sink.Chunk([]byte("event: error\ndata: " + string(body) + "\n\n"))
}
