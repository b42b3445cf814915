package outcome

// Kind is one entry of the closed list of error kinds.
type Kind int

// The closed list of error kinds.
const (
	// Internal is a fault of the daemon itself after the request may have been sent.
	Internal Kind = iota
	// InvalidBody is a body that cannot be parsed.
	InvalidBody
	// MissingField is a body or header that lacks a required field.
	MissingField
	// BodyTooLarge is a body over the limit of the settings.
	BodyTooLarge
	// UnknownPath is a path that no interface serves.
	UnknownPath
	// MethodNotAllowed is a known path with a wrong method.
	MethodNotAllowed
	// Unauthenticated is a request without a valid key.
	Unauthenticated
	// Forbidden is a request for something the key does not permit.
	Forbidden
	// UnknownModel is a model or adapter that is not in force.
	UnknownModel
	// UnknownService is a plain service or call that is not in force.
	UnknownService
	// Withdrawn is a model, adapter or service that a release note withdrew.
	Withdrawn
	// QueueFull is a request that found its bounded queue full.
	QueueFull
	// TenantLimit is a request of a tenant that used up its share.
	TenantLimit
	// DeadlineUnmeetable is a request refused at once because measured rates rule out its deadline.
	DeadlineUnmeetable
	// DeadlineInQueue is a request whose deadline passed before it was sent.
	DeadlineInQueue
	// DeadlineRunning is a request whose deadline passed after it was sent.
	DeadlineRunning
	// NoReplica is a request for a model for which no replica can be loaded in time.
	NoReplica
	// LoadFailed is a request whose model failed to load.
	LoadFailed
	// NoDecider is a cold request while no daemon of the data centre can decide a load.
	NoDecider
	// ClaimUnavailable is a non-idempotent call that could not be claimed because the platform is away.
	ClaimUnavailable
	// ClaimRunning is a non-idempotent call whose first sending is still running.
	ClaimRunning
	// ClaimUnresolved is a non-idempotent call whose first sending has no known end.
	ClaimUnresolved
	// ClaimMismatch is a key that was used before with another body.
	ClaimMismatch
	// RetriesSpent is a request whose first attempt provably did not run and whose retry budget is spent.
	RetriesSpent
	// Quarantined is a request that is refused because it crashed upstreams.
	Quarantined
	// UpstreamRefused is a request that the upstream proved not to have run.
	UpstreamRefused
	// UpstreamLost is a request whose upstream failed before its answer was complete.
	UpstreamLost
	// AnswerInvalid is a request whose answer was foreign, truncated or malformed.
	AnswerInvalid
	// CallerGone is a request whose caller closed the connection.
	CallerGone
	// Stopping is a request that reached a daemon which is shutting down.
	Stopping
	// NotReady is a request that reached a daemon which does not know the state in force.
	NotReady
	// NoteInvalid is a release note that fails its checks.
	NoteInvalid
	// NoteConflict is a release note that was written against another note than the one in force.
	NoteConflict
	// NoteUnclear is a release note whose acceptance could not be read back.
	NoteUnclear
	// PlatformUnavailable is an operator's call that needs the platform while it is away.
	PlatformUnavailable

	kindCount
)
