// Package service speaks to plain services, whose calls may not be repeated.
//
// Client never repeats a call by itself. Its failures are those of package
// upstream: ErrNotSent only if no byte of the call can have reached the
// service, *RefusedError if the service proved that it did not run the call,
// ErrForeign for an answer to another call, and ErrNoAnswer for all else.
package service
