package datastore

import (
	"errors"
	"fmt"
	"net/http"
)

// callError is a call that was not answered with success.
type callError struct {
	// status is the HTTP status of the answer, or zero if there is none.
	status int
	// notSent states that the call took no effect: it was not sent, or the platform said so.
	notSent bool
	cause   error
}

// Error returns the cause.
func (failure *callError) Error() string {
	return failure.cause.Error()
}

// asRead returns the failure of a call that changes nothing.
func asRead(err error) error {
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

// asWrite returns the failure of a call that changes something.
func asWrite(err error) error {
	var failure *callError
	switch {
	case !errors.As(err, &failure):
		return unavailable(err)
	case failure.status == http.StatusConflict:
		return fmt.Errorf("%w: %w", ErrConflict, err)
	case failure.notSent:
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
