package notice

import "time"

// Notice is what one answer of a replica says of the replica. The zero value says nothing.
type Notice struct {
	// Leaving states that the replica takes no new work.
	Leaving bool
	// Rest is how long it wants no request; zero if it does not say.
	Rest time.Duration
	// Odd is what of the answer was taken for a notice and could not be decoded; it is empty otherwise.
	Odd string
}

// LongestRest bounds the time for which a replica is left alone on its word.
const LongestRest = time.Hour
