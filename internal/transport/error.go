package transport

import "errors"

// Error is a request that failed.
type Error struct {
	// NotSent states that no byte of the request was written to a connection or can still be written.
	NotSent bool
	// Reset states that a new connection ended before any byte of a response.
	Reset bool
	// Cause is the error of the connection or of the context.
	Cause error
}

// Error returns whether the request may have been sent, and the cause.
func (failure *Error) Error() string {
	if failure.NotSent {
		return "not sent: " + failure.Cause.Error()
	}
	return "may have been sent: " + failure.Cause.Error()
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error {
	return failure.Cause
}

// IsNotSent reports whether err is an Error that states that no byte of the request was written or can still be
// written.
func IsNotSent(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.NotSent
}

// IsReset reports whether err is an Error that states that a new connection ended before any byte of a response.
func IsReset(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Reset
}
