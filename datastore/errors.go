package datastore

import "errors"

// The failures of calls to the platform. There are no others.
var (
	// ErrUnavailable means that the platform cannot be reached and the call took no effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnclear means that the response to a write was lost and the write may have taken effect.
	ErrUnclear = errors.New("effect of the write is unclear")
	// ErrConflict means that a condition of the transaction does not hold and nothing was written.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
)
