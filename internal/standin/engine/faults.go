package engine

// Faults holds the active faults. The zero value has none.
type Faults struct {
	// Leaving makes the engine refuse new work.
	Leaving bool
	// SlowFactor multiplies the times of tokens and loads. Values below 1 mean 1.
	SlowFactor float64
	// LoadLagMilliseconds is the age at which a load report is renewed.
	LoadLagMilliseconds int
	// CrossedHeads is the number of next responses that carry a foreign request identifier, including the header.
	CrossedHeads int
	// CrossedPieces is the number of next streams that carry a foreign request identifier from the third chunk on.
	CrossedPieces int
	// Truncated is the number of next responses that end early: streams without the end marker, others by an
	// aborted connection.
	Truncated int
	// LoseOrderAnswers is the number of next orders that are executed but whose response is lost.
	LoseOrderAnswers int
	// FailLoads is the number of next loads that fail after their transfer.
	FailLoads int
	// EventLagMilliseconds delays cache events.
	EventLagMilliseconds int
	// EventGap drops each cache event whose sequence number is a multiple of it; zero drops none.
	EventGap uint64
	// Mute suppresses heartbeats.
	Mute bool
}
