package notice

import "time"

// Notice is what one answer of a replica says of the replica. The zero value says nothing.
type Notice struct {
	// Leaving states that the replica takes no new work.
	Leaving bool
	// Backoff is how long it wants no request; zero if it does not say.
	Backoff time.Duration
	// Malformed is what of the answer was taken for a notice and could not be decoded; it is empty otherwise.
	Malformed string
}

// MaxBackoff bounds the time for which a replica is left alone on its word.
const MaxBackoff = time.Hour
