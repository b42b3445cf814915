package outcome

// Kind is the kind of an error that ends a request.
type Kind int

// The complete list of error kinds.
const (
	// Internal is a failure of the daemon itself after the request may have been sent.
	Internal Kind = iota
	// InvalidBody is a body that cannot be parsed.
	InvalidBody
	// MissingField is a body or header without a required field.
	MissingField
	// BodyTooLarge is a body that exceeds the configured limit.
	BodyTooLarge
	// UnknownPath is a path without a handler.
	UnknownPath
	// MethodNotAllowed is a known path with an unsupported method.
	MethodNotAllowed
	// Unauthenticated is a request without a valid key.
	Unauthenticated
	// Forbidden is a request that the key does not permit.
	Forbidden
	// UnknownModel is a model or adapter that is not in force.
	UnknownModel
	// UnknownService is a plain service or call that is not in force.
	UnknownService
	// Withdrawn is a model, adapter or service that a release note withdrew.
	Withdrawn
	// QueueFull is a request whose queue is full.
	QueueFull
	// TenantLimit is a request of a tenant that has used up its share.
	TenantLimit
	// DeadlineUnmeetable is a request rejected on arrival because, at measured rates, its deadline cannot be met.
	DeadlineUnmeetable
	// DeadlineInQueue is a request whose deadline passed before it was sent to an upstream.
	DeadlineInQueue
	// DeadlineRunning is a request whose deadline passed after it was sent to an upstream.
	DeadlineRunning
	// NoReplica is a request for a model of which no replica can be loaded in time.
	NoReplica
	// LoadFailed is a request whose model failed to load.
	LoadFailed
	// NoDecider is a request for a model that is not loaded while no daemon of the data centre can decide loads.
	NoDecider
	// ClaimUnavailable is a non-idempotent call that could not be claimed because the platform is unavailable.
	ClaimUnavailable
	// ClaimRunning is a non-idempotent call whose first attempt is still running.
	ClaimRunning
	// ClaimUnresolved is a non-idempotent call whose first attempt ended with an unknown result.
	ClaimUnresolved
	// ClaimMismatch is an idempotency key that was used before with another body.
	ClaimMismatch
	// RetriesSpent is a request whose first attempt provably was not executed and whose retry budget is exhausted.
	RetriesSpent
	// Quarantined is a request refused because earlier attempts crashed upstreams.
	Quarantined
	// UpstreamRefused is a request that the upstream rejected and provably did not execute.
	UpstreamRefused
	// UpstreamLost is a request whose upstream failed before the response was complete.
	UpstreamLost
	// AnswerInvalid is a request whose response belonged to another request, was truncated or was malformed.
	AnswerInvalid
	// CallerGone is a request whose caller closed the connection.
	CallerGone
	// Stopping is a request received by a daemon that is shutting down.
	Stopping
	// NotReady is a request received by a daemon that has not loaded the state in force yet.
	NotReady
	// NoteInvalid is a release note that fails its checks.
	NoteInvalid
	// NoteConflict is a release note that is based on another note than the one in force.
	NoteConflict
	// NoteUnclear is a release note whose acceptance could not be confirmed.
	NoteUnclear
	// OriginUnknown is a request that goes on with a stream of which it is not known which release of the service began it.
	OriginUnknown
	// PlatformUnavailable is an operator's call that needs the platform while it is unavailable.
	PlatformUnavailable

	kindCount
)
