package topology

// Kind classifies the requests of a route by how often they may be executed.
type Kind int

// The kinds of requests.
const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They are executed at most once, unless the route is
	// resumable.
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
