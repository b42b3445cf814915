package upstream

import (
	"context"
	"errors"
	"net/http"

	"github.com/bronzestall/bronzestall/request"
)

// The errors of a generation, in addition to ErrNotSent and ErrNoResponse.
var (
	// ErrTruncated means that the response ended before its end marker or its declared length, or is malformed.
	ErrTruncated = errors.New("response is truncated")
	// ErrMismatched means that the response carries the identifier of another request.
	ErrMismatched = errors.New("response belongs to another request")
)

// RefusedError is a response that guarantees that the engine or service did not run the request.
type RefusedError struct {
	// Status is the HTTP status of the response.
	Status int
	// Reason is the text sent by the engine, such as "not loaded", "leaving" or "full".
	Reason string
}

// Error returns the reason with a prefix.
func (refused *RefusedError) Error() string {
	return "upstream refused: " + refused.Reason
}

// CannotResume reports whether the engine refused to go on with a stream because it does not know the generation.
func (refused *RefusedError) CannotResume() bool {
	return refused.Status == http.StatusGone
}

// Generation is one attempt to run a request on one replica.
type Generation struct {
	// Request is the request to run.
	Request request.Request
	// Version is the required version of the model.
	Version string
	// Attempt is the number of this attempt, counted from one.
	Attempt int
	// ResumeAfter is the index of the last piece sent to the caller; zero starts a new generation.
	ResumeAfter int
	// OnSilence is called when neither a piece nor a heartbeat arrived for ClientSettings.SilenceTimeout, by one
	// goroutine at a time, and again that time after it returned if the silence lasts. Its context ends as soon
	// as something arrives, or with the context of the generation. The generation goes on. It may be nil.
	OnSilence func(ctx context.Context)
}

// Piece is one part of a response.
type Piece struct {
	// Index is the number of the piece in its response, counted from one; a resumed stream continues after
	// ResumeAfter.
	Index int
	// Data is the payload without the framing of server-sent events.
	Data []byte
	// Tokens is the number of tokens in the piece.
	Tokens int
}

// LoadReport is the load of a replica that the engine reported in a response.
type LoadReport struct {
	// Running is the number of requests in the current batch.
	Running int
	// Waiting is the number of requests that wait to join the batch.
	Waiting int
}

// Stream is the response to one generation.
type Stream interface {
	// Status returns the HTTP status of the response.
	Status() int
	// ContentType returns the content type of the response.
	ContentType() string
	// Next returns the next piece, io.EOF after a complete response, or ErrTruncated,
	// ErrMismatched or ErrNoResponse. A Piece is valid until the next call.
	Next(ctx context.Context) (Piece, error)
	// Load returns the latest load report of the response and whether it has one.
	Load() (LoadReport, bool)
	// Close ends the generation on the engine unless it is complete. It may be called more than once.
	Close() error
}

// Generator starts generations on one engine.
type Generator interface {
	// Generate sends the request. It returns once the header of the response has arrived and fails with
	// ErrNotSent, ErrNoResponse, ErrMismatched or a *RefusedError.
	Generate(ctx context.Context, generation Generation) (Stream, error)
	// Probe requests the boot identifier of the engine over a new connection, to distinguish a stalled
	// connection from an engine that does not respond.
	Probe(ctx context.Context) (bootID string, err error)
}
