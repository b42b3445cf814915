package engine

// Counts holds the counters of the engine since New, over all boots.
type Counts struct {
	// Executions counts the started generations by request identifier.
	Executions map[string]int
	// Completed counts generations that reached their last token, Cancelled those that ended earlier.
	Completed, Cancelled int
	// Resumed counts streams that were resumed on another connection.
	Resumed int
	// Refused counts the refused requests by reason.
	Refused map[string]int
	// Loads counts the started loads by "model@version".
	Loads map[string]int
	// LoadsPeak is the largest number of loads in flight.
	LoadsPeak int
	// MemoryPeak is the largest accelerator memory in use in bytes.
	MemoryPeak int64
	// OvercommitAttempts counts load orders that did not fit into the memory.
	OvercommitAttempts int
	// Fenced counts the orders rejected for an old fencing number.
	Fenced int
	// Adapters counts adapter transfers.
	Adapters int
	// Crashes counts crashes.
	Crashes int
	// CrashedBy counts the crashes by the digest of the request body that caused them.
	CrashedBy map[string]int
	// AfterLeaving counts the requests and load orders received while the engine was leaving.
	AfterLeaving int
}
