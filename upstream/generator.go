package upstream

import (
	"context"
	"errors"

	"github.com/bronzestall/bronzestall/request"
)

// The failures of a generation after it was sent. ErrNotSent and ErrNoAnswer apply too.
var (
	// ErrStalled means that neither a piece nor a heartbeat came for the silence limit.
	ErrStalled = errors.New("connection is silent")
	// ErrTruncated means that the answer ended before its end marker or its stated length.
	ErrTruncated = errors.New("answer is truncated")
	// ErrMismatched means that the answer carries the identifier of another request.
	ErrMismatched = errors.New("answer belongs to another request")
)

// RefusedError is an answer by which the engine proves that it did not run the request.
type RefusedError struct {
	// Status is the HTTP status of the refusal.
	Status int
	// Reason is the engine's own word, such as "not loaded", "leaving" or "full".
	Reason string
}

// Error returns the reason.
func (refused *RefusedError) Error() string {
	return "upstream refused: " + refused.Reason
}

// Generation is one attempt to run a request on one replica.
type Generation struct {
	// Request is what to run.
	Request request.Request
	// Version is the version of the model that must answer.
	Version string
	// Attempt counts the attempts of the request from one.
	Attempt int
	// ResumeAfter is the index of the last piece that the caller got; zero starts anew.
	ResumeAfter int
}

// Piece is one part of an answer.
type Piece struct {
	// Index counts the pieces of a streamed answer from one; a resumed stream goes on after ResumeAfter.
	Index int
	// Data is the payload without the framing of the stream.
	Data []byte
	// Tokens is the number of tokens in the piece.
	Tokens int
}

// LoadReport is the load of a replica as the engine reported it with an answer.
type LoadReport struct {
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests before the batch.
	Waiting int
}

// Stream is the answer to one generation.
type Stream interface {
	// Status is the HTTP status of the answer.
	Status() int
	// ContentType is the content type of the answer.
	ContentType() string
	// Next returns the next piece, io.EOF after a complete answer, or ErrSilent, ErrTruncated,
	// ErrForeign or ErrNoAnswer. A Piece is valid until the next call.
	Next(ctx context.Context) (Piece, error)
	// Load returns the newest load report of the answer and whether there is one.
	Load() (LoadReport, bool)
	// Close ends the generation on the engine unless it is complete. It may be called more than once.
	Close() error
}

// Generator starts generations on one engine.
type Generator interface {
	// Generate sends the request. It returns once the head of the answer is there and fails with
	// ErrNotSent, ErrNoAnswer, ErrSilent, ErrForeign or a *RefusedError.
	Generate(ctx context.Context, generation Generation) (Stream, error)
	// Probe opens a fresh connection and asks for the engine's boot, so that a silent
	// connection can be told from a silent engine.
	Probe(ctx context.Context) (bootID string, err error)
}
