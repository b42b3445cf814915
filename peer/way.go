package peer

// Way is a form of exchange.
type Way int

// The ways of exchange.
const (
	// Mesh exchanges with every peer of the data centre in each interval.
	Mesh Way = iota
	// Digests exchanges with one random peer in each interval and passes on what it knows of others.
	Digests
)
