package route

// Requirements are the requirements of a request for the choice of its replica.
type Requirements struct {
	// Affinity is a hash. Requests with equal affinity prefer the same replica; zero means none.
	Affinity uint64
	// SecondaryAffinity is a hash that selects a second candidate besides that of Affinity, so that requests equal
	// in both go to at most two upstreams while one of them has room; zero means none.
	SecondaryAffinity uint64
	// Adapter is the adapter that the replica must have loaded or load; empty means none.
	Adapter string
	// Version is the version of the model that the replica must hold; empty means any.
	Version string
	// Release is the release that the engine must have; empty means any.
	Release string
	// Exclude is an upstream that must not be chosen; empty means none.
	Exclude string
	// Only is the one upstream that may be chosen; empty means any.
	Only string
	// Suspect states that the request may crash its upstream: it runs only on the first upstream of its affinity,
	// whatever the load, and not together with another suspect.
	Suspect bool
	// BelowShare states that the tenant runs less than its share. Other tenants leave an eighth of the slots free.
	BelowShare bool
	// BelowShareOnAverage states that the tenant runs less than its share on average, so that no slots are reserved
	// against it.
	BelowShareOnAverage bool
	// ReservedSlots is the number of slots, out of TotalSlots, that are reserved for other tenants.
	ReservedSlots, TotalSlots int
	// Daemons is the number of daemons that choose among the same candidates; zero means one. Between two
	// reports of a replica, each daemon uses only its part of the free slots.
	Daemons int
}

// reserved returns the number of slots of one candidate that are reserved for other tenants, rounded up.
func (requirements *Requirements) reserved(slots int) int {
	if requirements.TotalSlots <= 0 {
		return 0
	}
	return min((slots*requirements.ReservedSlots+requirements.TotalSlots-1)/requirements.TotalSlots, slots)
}
