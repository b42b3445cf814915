package weights

// Counts holds the counters since New.
type Counts struct {
	// Loads counts the transfers of checkpoints by "model@version".
	Loads map[string]int
	// LoadsNow and LoadsPeak are the current and the maximum number of loads in flight.
	LoadsNow, LoadsPeak int
	// OverRate counts loads that began above the allowed rate.
	OverRate int
	// Adapters counts the transfers of adapters.
	Adapters int
	// AdaptersNow and AdaptersPeak are the current and the maximum number of adapter transfers in flight.
	AdaptersNow, AdaptersPeak int
}
