package request

import (
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// API is the interface over which the caller sent a request.
type API int

// The interfaces for callers.
const (
	// Chat is the interface of chat completions.
	Chat API = iota
	// Completion is the interface of text completions.
	Completion
	// ServiceCall is the interface of calls of plain services.
	ServiceCall
)

// Request is one request of a caller. It is immutable after admission.
type Request struct {
	// ID is a unique identifier that the daemon generates. It is sent to the upstream, whose response must carry it.
	ID string
	// Tenant is the name of the tenant of the caller.
	Tenant string
	// Class is the name of the class that sets the deadline and the priority.
	Class string
	// Priority is passed to engines; a higher number is served first.
	Priority int
	// API is the interface over which the caller sent the request.
	API API
	// Target is the requested model and adapter; it is empty for a ServiceCall.
	Target catalogue.Target
	// Service is the name of the service of a ServiceCall.
	Service string
	// Call is the catalogue entry of the call of a ServiceCall.
	Call catalogue.Call
	// Idempotent states that the request may be executed more than once.
	Idempotent bool
	// IdempotencyKey is the idempotency key that the caller sent, or empty.
	IdempotencyKey string
	// Arrived is the time at which the request arrived at the daemon.
	Arrived time.Time
	// Deadline is the time by which the response must have started.
	Deadline time.Time
	// Stream states that the caller requests the response as server-sent events.
	Stream bool
	// Tokens is the estimated cost of the request in tokens, at least one.
	Tokens int
	// Prefix is the hash of the first block of the prompt, used for prefix-cache affinity.
	Prefix uint64
	// Fingerprint is the hash of tenant, path and body; equal requests have equal fingerprints.
	Fingerprint uint64
	// ContentType is the content type of Body.
	ContentType string
	// Body is the body that is sent to the upstream.
	Body []byte
}
