package topology

// Kind tells how often a request of a route may run.
type Kind int

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by events and run at most once, unless their route is resumable.
	Streaming
)

// String returns the name of the kind for logs.
func (kind Kind) String() string {
	switch kind {
	case Idempotent:
		return "Idempotent"
	case Streaming:
		return "Streaming"
	default:
		return "NonIdempotent"
	}
}
