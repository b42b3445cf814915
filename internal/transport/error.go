package transport

import "errors"

// Error is a failed exchange.
type Error struct {
	// NotSent states that no byte of the request was written to a connection or can be written later.
	NotSent bool
	// Cause is the failure of the connection or of the context.
	Cause error
}

// Error returns whether the request was sent, and the cause.
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

// IsNotSent reports whether the failure of an exchange states that no byte was written or can be written later.
func IsNotSent(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.NotSent
}
