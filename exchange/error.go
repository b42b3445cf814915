package exchange

import "errors"

// The failures of an attempt without a usable response.
var (
	// ErrNotSent means that no byte of the request can have reached the replica.
	ErrNotSent = errors.New("request was not sent")
	// ErrLost means that no complete response arrived; the replica may have run the request.
	ErrLost = errors.New("answer was lost")
	// ErrReset means, beside ErrLost, that a new connection ended before any byte of a response.
	ErrReset = errors.New("new connection was reset")
	// ErrInvalidResponse means that the bytes received are not a response to the request; the replica may have run
	// it.
	ErrInvalidResponse = errors.New("answer does not belong to the request")
)
