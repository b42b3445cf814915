package datastore

import (
	"errors"
	"fmt"
	"net/http"
)

// callError is the failure of a call that got no successful response.
type callError struct {
	// status is the HTTP status of the response, or zero if there was no response.
	status int
	// noEffect states that the call took no effect: it was not sent, or the response reports that it was not executed.
	noEffect bool
	cause    error
}

// Error returns the cause.
func (failure *callError) Error() string {
	return failure.cause.Error()
}

// readError converts the failure of a read to ErrNotFound or ErrUnavailable. It returns nil for nil.
func readError(err error) error {
	var failure *callError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failure) && failure.status == http.StatusNotFound:
		return fmt.Errorf("%w: %w", ErrNotFound, err)
	default:
		return unavailable(err)
	}
}

// writeError converts the failure of a write to ErrConflict, ErrUnavailable or ErrUnclear. The error must not be nil.
func writeError(err error) error {
	var failure *callError
	switch {
	case !errors.As(err, &failure):
		return unavailable(err)
	case failure.status == http.StatusConflict:
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case failure.noEffect:
		return unavailable(err)
	default:
		return unclear(err)
	}
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func unclear(err error) error {
	return fmt.Errorf("%w: %w", ErrUnclear, err)
}
