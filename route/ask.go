package route

// Ask tells what a request needs of its replica.
type Requirements struct {
	// Affinity is the hash by which equal prompts prefer the same replica; zero means none.
	Affinity uint64
	// Spread is a hash by which equal requests have the same second candidate beside that of the affinity, so
	// that they go to two upstreams at most while one of them has room; zero means none.
	SecondaryAffinity uint64
	// Adapter is the adapter that the replica must hold or load; empty means none.
	Adapter string
	// Exclude is an upstream that must not be chosen; empty means none.
	Exclude string
	// Only is the one upstream that may be chosen; empty means any.
	Only string
	// Suspect states that the request may crash its upstream: it runs alone among suspects
	// and on the first upstream of its affinity only, whatever the load.
	Suspect bool
	// Below states that the tenant runs less than its share. Others leave an eighth of the slots free.
	BelowShare bool
	// Modest states that the tenant runs less than its share on average, so that no slots are kept from it.
	BelowShareOnAverage bool
	// Kept is the number of slots, of Of slots in all, that are kept free for other tenants.
	ReservedSlots, TotalSlots int
	// Daemons is the number of daemons that choose among the same candidates; zero means one. Between two
	// reports of a replica, each of them uses its part of the free slots only.
	Daemons int
}

// kept returns the part of the slots of one candidate that is kept free for other tenants, rounded up.
func (ask *Requirements) kept(slots int) int {
	if ask.TotalSlots <= 0 {
		return 0
	}
	return min((slots*ask.ReservedSlots+ask.TotalSlots-1)/ask.TotalSlots, slots)
}
