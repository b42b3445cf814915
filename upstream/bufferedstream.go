package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/bronzestall/bronzestall/internal/responsehead"
)

// bufferedStream is a response that is not streamed. It is returned as one piece.
type bufferedStream struct {
	*responseBody
	id    string
	limit int64
	done  bool
}

// Next returns the complete response, then io.EOF.
func (stream *bufferedStream) Next(ctx context.Context) (Piece, error) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if stream.done {
		return Piece{}, io.EOF
	}
	stream.done = true
	stream.ctx = ctx
	if !responsehead.IsFramed(stream.response) {
		return Piece{}, fmt.Errorf("%w: response has neither a length nor a chunked encoding", ErrTruncated)
	}
	content, err := io.ReadAll(io.LimitReader(stream.responseBody, stream.limit+1))
	if err != nil {
		return Piece{}, stream.classify(err)
	}
	if int64(len(content)) > stream.limit {
		return Piece{}, fmt.Errorf("%w: response is longer than %d bytes", ErrTruncated, stream.limit)
	}
	return stream.piece(content)
}

// piece returns the content as a piece. It checks that a successful response carries the identifier of the
// request.
func (stream *bufferedStream) piece(content []byte) (Piece, error) {
	piece := Piece{Index: 1, Data: content, Tokens: 1}
	if stream.Status() != http.StatusOK {
		return piece, nil
	}
	var payload struct {
		ID    string `json:"id"`
		Usage struct {
			Tokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(content, &payload); err != nil {
		return Piece{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if payload.ID != stream.id {
		return Piece{}, fmt.Errorf("%w: got %q", ErrMismatched, payload.ID)
	}
	piece.Tokens = max(payload.Usage.Tokens, 1)
	return piece, nil
}

// Close ends the generation on the engine unless it is complete. It may be called more than once.
func (stream *bufferedStream) Close() error {
	if !stream.mu.TryLock() {
		stream.cancel()
		stream.mu.Lock()
	}
	defer stream.mu.Unlock()
	stream.done = true
	stream.close()
	return nil
}
