package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Error ends a request that is not answered in full. The zero value is Internal.
type Error struct {
	// Kind determines the status, the execution and the advice.
	Kind Kind
	// Message describes the failure in one sentence, without content of the caller.
	Message string
	// RetryAfter is the delay after which a repetition can succeed, or zero if unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil. It is logged and never sent.
	Cause error
}

// New returns an error of the kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// WithCause returns a copy of the error with the cause and a stack trace.
func (failure *Error) WithCause(cause error) *Error {
	with := *failure
	with.Cause = trace.Wrap(cause)
	return &with
}

// WithRetryAfter returns a copy of the error with the delay.
func (failure *Error) WithRetryAfter(delay time.Duration) *Error {
	with := *failure
	with.RetryAfter = delay
	return &with
}

// Error returns the kind, the message and the cause.
func (failure *Error) Error() string {
	if failure.Cause == nil {
		return failure.Kind.String() + ": " + failure.Message
	}
	return failure.Kind.String() + ": " + failure.Message + ": " + failure.Cause.Error()
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error {
	return failure.Cause
}

// From returns err as an *Error. An error of another type becomes Internal; nil stays nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return New(Internal, "unexpected failure").WithCause(err)
}

// Is reports whether err is an *Error of the kind.
func Is(err error, kind Kind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == kind
}
