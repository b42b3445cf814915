package dispatch

import "github.com/bronzestall/bronzestall/route"

// below reports whether the tenant of the waiting request runs less than its fair share of the slots, over
// all daemons of the data centre. One more tenant is counted than is active, so that a tenant alone is
// not below its share when it holds all slots. The mutex is held.
func (dispatcher *Dispatcher) below(lane *lane, snapshot Snapshot, waiting *entry) bool {
	share := max(waiting.Share, 1)
	active := share + 1
	for tenant := range lane.tenants {
		if tenant != waiting.Tenant {
			active += dispatcher.share(tenant)
		}
	}
	running := lane.tenants[waiting.Tenant]
	if lane.target.Model != "" {
		running += dispatcher.deps.Peers.Running(lane.target.Model, waiting.Tenant)
	}
	return running*active < slots(snapshot)*share
}

// capped reports whether the daemon runs its part of the slots: as much as its part of what all daemons
// run and wait for. Without others it is the whole. The mutex is held.
func (dispatcher *Dispatcher) capped(lane *lane, snapshot Snapshot) bool {
	if lane.target.Model == "" {
		return false
	}
	own := lane.running + lane.waiting()
	others := dispatcher.deps.Peers.Wanted(lane.target.Model)
	if others <= 0 {
		return false
	}
	limit := slots(snapshot) - slots(snapshot)/route.ReservePart
	return lane.running*(own+others) >= max(limit*own, own+others)
}

// slots returns the slots of the candidates of this data centre, or of the others if there are none.
func slots(snapshot Snapshot) int {
	candidates := snapshot.Own
	if len(candidates) == 0 {
		candidates = snapshot.Others
	}
	total := 0
	for index := range candidates {
		total += candidates[index].Capacity()
	}
	return total
}

// ask returns what the waiting request needs now. The mutex is held.
func (dispatcher *Dispatcher) ask(lane *lane, snapshot Snapshot, waiting *entry) route.Ask {
	ask := waiting.Item.ask
	ask.Below = dispatcher.below(lane, snapshot, waiting)
	if lane.target.Model != "" {
		ask.Daemons = dispatcher.deps.Peers.Daemons()
	}
	if dispatcher.bound(waiting) {
		ask.Only = dispatcher.flying[waiting.Item.fingerprint].upstream
	}
	return ask
}
