package datastore

import "errors"

// The closed list of failures of the platform.
var (
	// ErrUnavailable means that the platform cannot be reached and the call took no effect.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnclear means that the answer to a write was lost and the write may have taken effect.
	ErrUnclear = errors.New("effect of the write is unclear")
	// ErrConflict means that a condition of the transaction does not hold and nothing was written.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = errors.New("not found")
)
