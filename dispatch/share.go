package dispatch

import (
	"math"
	"time"

	"github.com/bronzestall/bronzestall/route"
)

// below reports whether the tenant of the waiting request runs less than its fair share of the slots, over
// all daemons of the data centre. The mutex is held.
func (dispatcher *Dispatcher) below(lane *lane, snapshot Snapshot, waiting *entry) bool {
	fair := dispatcher.fair(lane, snapshot, waiting.Tenant)
	return float64(dispatcher.runs(lane, waiting.Tenant)) < fair
}

// modest reports whether the tenant asked for less than its fair share on average and never for more than all
// slots of late. The mutex is held.
func (dispatcher *Dispatcher) modest(lane *lane, snapshot Snapshot, tenant string) bool {
	now := dispatcher.clock.Now()
	peak := lane.peaks[tenant]
	return peak.now(now) <= float64(slots(snapshot)) && peak.average(now) < dispatcher.fair(lane, snapshot, tenant)
}

// notice takes what the tenant asks for now. The mutex is held.
func (dispatcher *Dispatcher) notice(lane *lane, tenant string) {
	if _, counted := lane.peaks[tenant]; !counted {
		lane.shares += dispatcher.share(tenant)
	}
	lane.notice(tenant, dispatcher.runs(lane, tenant)+lane.queue.Of(tenant), dispatcher.clock.Now())
}

// fair returns the fair share of the tenant in the slots among the tenants that were active lately. One more
// is counted if it is alone, so that it is not below its share when it holds all slots, and if there are
// other daemons, as room for what they granted since they told. The mutex is held.
func (dispatcher *Dispatcher) fair(lane *lane, snapshot Snapshot, tenant string) float64 {
	share := dispatcher.share(tenant)
	active := lane.shares
	if _, counted := lane.peaks[tenant]; !counted {
		active += share
	}
	if active == share || dispatcher.deps.Peers.Daemons() > 1 {
		active++
	}
	return float64(slots(snapshot)*share) / float64(active)
}

// runs returns the requests of the tenant that run, over all daemons of the data centre. The mutex is held.
func (dispatcher *Dispatcher) runs(lane *lane, tenant string) int {
	running := lane.tenants[tenant]
	if lane.target.Model != "" {
		running += dispatcher.deps.Peers.Running(lane.target.Model, tenant)
	}
	return running
}

// forget drops the tenants that are no longer active. The mutex is held.
func (dispatcher *Dispatcher) forget(lane *lane, now time.Time) {
	for tenant, peak := range lane.peaks {
		if peak.count == 0 && peak.average(now) < leastMean {
			delete(lane.peaks, tenant)
			lane.shares -= dispatcher.share(tenant)
		}
	}
}

// kept returns the slots that are kept free for other tenants: for each that is modest what it needs at a
// peak and does not use. The mutex is held.
func (dispatcher *Dispatcher) kept(lane *lane, snapshot Snapshot, tenant string) int {
	now := dispatcher.clock.Now()
	kept := 0.0
	for other, peak := range lane.peaks {
		if other != tenant && dispatcher.modest(lane, snapshot, other) {
			kept += max(peak.needs(now)-float64(dispatcher.runs(lane, other)), 0)
		}
	}
	return int(min(math.Ceil(kept), float64(slots(snapshot))))
}

// capped reports whether the daemon runs its part of the slots: as much as its part of what all daemons
// run and wait for. Without others it is the whole. The mutex is held.
func (dispatcher *Dispatcher) capped(lane *lane, snapshot Snapshot, kept int) bool {
	if lane.target.Model == "" {
		return false
	}
	own := lane.running + lane.waiting()
	others := dispatcher.deps.Peers.Wanted(lane.target.Model)
	if others <= 0 {
		return false
	}
	limit := slots(snapshot) - max(slots(snapshot)/route.ReserveDivisor, kept)
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
func (dispatcher *Dispatcher) ask(lane *lane, snapshot Snapshot, waiting *entry) route.Requirements {
	ask := waiting.Item.ask
	ask.BelowShare = dispatcher.below(lane, snapshot, waiting)
	ask.BelowShareOnAverage = dispatcher.modest(lane, snapshot, waiting.Tenant)
	if !ask.BelowShareOnAverage {
		ask.ReservedSlots, ask.TotalSlots = dispatcher.kept(lane, snapshot, waiting.Tenant), slots(snapshot)
	}
	if lane.target.Model != "" {
		ask.Daemons = dispatcher.deps.Peers.Daemons()
	}
	if dispatcher.bound(waiting) {
		ask.Only = dispatcher.flying[waiting.Item.fingerprint].upstream
	}
	return ask
}
