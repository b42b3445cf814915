package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// wholeStream is an answer that is not streamed. It is one piece.
type wholeStream struct {
	*body
	id    string
	limit int64
	done  bool
}

// Next returns the whole answer, then io.EOF.
func (stream *wholeStream) Next(ctx context.Context) (Piece, error) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if stream.done {
		return Piece{}, io.EOF
	}
	stream.done = true
	stream.ctx = ctx
	if !hasStatedEnd(stream.response) {
		return Piece{}, fmt.Errorf("%w: length is not stated", ErrTruncated)
	}
	content, err := io.ReadAll(io.LimitReader(stream.body, stream.limit+1))
	if err != nil {
		return Piece{}, stream.named(err)
	}
	if int64(len(content)) > stream.limit {
		return Piece{}, fmt.Errorf("%w: longer than %d bytes", ErrTruncated, stream.limit)
	}
	return stream.piece(content)
}

// piece checks that a successful answer carries the identifier of the request.
func (stream *wholeStream) piece(content []byte) (Piece, error) {
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
func (stream *wholeStream) Close() error {
	if !stream.mu.TryLock() {
		stream.cancel()
		stream.mu.Lock()
	}
	defer stream.mu.Unlock()
	stream.done = true
	stream.close()
	return nil
}

// hasStatedEnd reports whether the end of the body can be told from a lost connection.
func hasStatedEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
