package dispatch

import (
	"context"
	"errors"
	"io"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// relay sends the response of the leg to the sink. It returns nil after a complete response.
func (transaction *transaction) relay(leg *leg, begun func()) error {
	stream := leg.stream
	if transaction.req.Stream && stream.Status() < firstErrorStatus {
		return transaction.relayPieces(leg, begun)
	}
	if transaction.sink.Begun() {
		return upstream.ErrTruncated
	}
	body, err := transaction.collect(leg.ctx, stream, begun)
	if err != nil {
		return err
	}
	return transaction.sendResponse(stream.Status(), stream.ContentType(), body)
}

// collect returns the whole response body, up to Settings.MaxResponseBytes.
func (transaction *transaction) collect(ctx context.Context, stream upstream.Stream, begun func()) ([]byte, error) {
	var body []byte
	for {
		piece, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		begun()
		body = append(body, piece.Data...)
		if len(body) > transaction.dispatcher.settings.MaxResponseBytes {
			return nil, outcome.New(outcome.AnswerInvalid, "the answer is larger than allowed")
		}
	}
}

// sendResponse writes a complete response to the sink.
func (transaction *transaction) sendResponse(status int, contentType string, body []byte) error {
	if err := transaction.sink.Begin(status, contentType); err != nil {
		return errSink
	}
	if err := transaction.sink.Chunk(body); err != nil {
		return errSink
	}
	return nil
}
