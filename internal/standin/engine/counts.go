package engine

// Counts are what the engine did since it was made, over all boots.
type Counts struct {
	// Executions counts by request identifier how often a generation began.
	Executions map[string]int
	// Completed counts generations that reached their last token, Cancelled those that were ended by their caller.
	Completed, Cancelled int
	// Resumed counts streams that went on over another connection.
	Resumed int
	// Refused counts by reason the requests that did not run.
	Refused map[string]int
	// Loads counts by "model@version" the loads that began.
	Loads map[string]int
	// LoadsPeak is the largest number of loads in flight.
	LoadsPeak int
	// MemoryPeak is the largest accelerator memory in use in bytes.
	MemoryPeak int64
	// OvercommitAttempts counts orders that did not fit.
	OvercommitAttempts int
	// Fenced counts orders with an old fencing number that were refused.
	Fenced int
	// Adapters counts adapter transfers.
	Adapters int
	// Crashes counts crashes.
	Crashes int
	// CrashedBy counts by the mark of a body the crashes that a request with this body caused.
	CrashedBy map[string]int
	// AfterLeaving counts requests and loads that came while the engine was leaving.
	AfterLeaving int
}
