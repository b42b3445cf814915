package weights

// Counts are the transfers since the start.
type Counts struct {
	// Loads counts the loads of models by "model@version".
	Loads map[string]int
	// LoadsNow and LoadsPeak are the loads in flight now and at most.
	LoadsNow, LoadsPeak int
	// OverRate counts loads that began while the rate was used up.
	OverRate int
	// Adapters counts the transfers of adapters.
	Adapters int
	// AdaptersNow and AdaptersPeak are the adapter transfers in flight now and at most.
	AdaptersNow, AdaptersPeak int
}
