package engine

// Faults are the faults in force. The zero value is a healthy engine.
type Faults struct {
	// Leaving makes the engine take no new work.
	Leaving bool
	// SlowFactor makes tokens and loads take this many times as long; zero means once.
	SlowFactor float64
	// LoadLagMilliseconds is the age that a load report may have before it is renewed.
	LoadLagMilliseconds int
	// CrossedHeads is the number of coming answers that carry another request's identifier from their head on.
	CrossedHeads int
	// CrossedPieces is the number of coming streams that carry another request's identifier from the third piece on.
	CrossedPieces int
	// Truncated is the number of coming answers that end early as if they were complete.
	Truncated int
	// LoseOrderAnswers is the number of coming orders that are done and whose connection is cut then.
	LoseOrderAnswers int
	// FailLoads is the number of coming loads that fail after their transfer.
	FailLoads int
	// EventLagMilliseconds delays cache events.
	EventLagMilliseconds int
	// EventGap drops every cache event whose sequence number is a multiple of it; zero drops none.
	EventGap uint64
	// Mute sends no heartbeats.
	Mute bool
}
