// Package service calls plain services, whose calls must not be retried unless they are idempotent.
//
// Client never retries a call that may have been sent. Its errors are those of
// package upstream: ErrNotSent only if no byte of the call can have reached the
// service, *RefusedError if the response guarantees that the call did not run,
// ErrMismatched for the response to another call, ErrTruncated for an incomplete
// response, and ErrNoResponse for all other failures.
package service
