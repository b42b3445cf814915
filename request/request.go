package request

import (
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// API tells which interface the caller used.
type API int

// The forms of requests.
const (
	// Chat is a chat completion.
	Chat API = iota
	// Completion is a text completion.
	Completion
	// ServiceCall is a call of a plain service.
	ServiceCall
)

// Request is one request of a caller. It is immutable after admission.
type Request struct {
	// ID is unique and made by the daemon; it is sent to the upstream, which repeats it in its answer.
	ID string
	// Tenant is the name of the tenant that the caller belongs to.
	Tenant string
	// Class is the name of the class that gave deadline and priority.
	Class string
	// Priority is passed to engines; a higher number goes first.
	Priority int
	// API tells which interface the caller used.
	API API
	// Target names model and adapter; it is empty for a ServiceCall.
	Target catalogue.Target
	// Service and Call name the call of a ServiceCall.
	Service string
	// Call is the call of the service in force.
	Call catalogue.Call
	// Idempotent states that the request may run more than once.
	Idempotent bool
	// IdempotencyKey is the idempotency key of the caller, or empty.
	IdempotencyKey string
	// Arrived is the time of arrival at the daemon.
	Arrived time.Time
	// Deadline is the time by which the answer must have begun.
	Deadline time.Time
	// Stream states that the caller takes the answer as server-sent events.
	Stream bool
	// Tokens is the estimated cost of the request in tokens, at least one.
	Tokens int
	// Prefix is the hash of the first block of the prompt, for prefix-cache affinity.
	Prefix uint64
	// Fingerprint is the hash of tenant, target and body; equal requests have equal fingerprints.
	Fingerprint uint64
	// ContentType is the content type of Body.
	ContentType string
	// Body is what the upstream gets.
	Body []byte
}
