package dispatch

import (
	"math"
	"time"

	"github.com/bronzestall/bronzestall/route"
)

// belowShare reports whether the running requests of the tenant are below its fair share of the slots, over
// all daemons of the data centre. The mutex must be held.
func (dispatcher *Dispatcher) belowShare(workload *workload, snapshot Snapshot, waiting *entry) bool {
	fairShare := dispatcher.fairShare(workload, snapshot, waiting.Tenant)
	return float64(dispatcher.runningOf(workload, waiting.Tenant)) < fairShare
}

// averageBelowShare reports whether the average demand of the tenant is below its fair share and its recent
// peak did not exceed all slots. The mutex must be held.
func (dispatcher *Dispatcher) averageBelowShare(workload *workload, snapshot Snapshot, tenant string) bool {
	now := dispatcher.clock.Now()
	peak := workload.peaks[tenant]
	return peak.now(now) <= float64(slots(snapshot)) && peak.average(now) < dispatcher.fairShare(workload, snapshot, tenant)
}

// recordDemand records the current demand of the tenant. The mutex must be held.
func (dispatcher *Dispatcher) recordDemand(workload *workload, tenant string) {
	if _, counted := workload.peaks[tenant]; !counted {
		workload.shares += dispatcher.share(tenant)
	}
	workload.recordDemand(tenant, dispatcher.runningOf(workload, tenant)+workload.queue.TenantLen(tenant), dispatcher.clock.Now())
}

// fairShare returns the fair share of the tenant in the slots among the recently active tenants. One more
// tenant is counted if this one is alone, so that it is not below its share when it holds all slots, and if
// there are other daemons, to leave room for what they granted since their last report. The mutex must be
// held.
func (dispatcher *Dispatcher) fairShare(workload *workload, snapshot Snapshot, tenant string) float64 {
	share := dispatcher.share(tenant)
	active := workload.shares
	if _, counted := workload.peaks[tenant]; !counted {
		active += share
	}
	if active == share || dispatcher.deps.Peers.Daemons() > 1 {
		active++
	}
	return float64(slots(snapshot)*share) / float64(active)
}

// runningOf returns the number of running requests of the tenant over all daemons of the data centre. The
// mutex must be held.
func (dispatcher *Dispatcher) runningOf(workload *workload, tenant string) int {
	running := workload.runningByTenant[tenant]
	if workload.target.Model != "" {
		running += dispatcher.deps.Peers.Running(workload.target.Model, tenant)
	}
	return running
}

// dropInactive deletes the tenants that are no longer active. The mutex must be held.
func (dispatcher *Dispatcher) dropInactive(workload *workload, now time.Time) {
	for tenant, peak := range workload.peaks {
		if peak.count == 0 && peak.average(now) < minActiveMean {
			delete(workload.peaks, tenant)
			workload.shares -= dispatcher.share(tenant)
		}
	}
}

// keptSlots returns the slots that are kept free for other tenants: the unused part of the peak demand of each
// tenant whose average is below its share. The mutex must be held.
func (dispatcher *Dispatcher) keptSlots(workload *workload, snapshot Snapshot, tenant string) int {
	now := dispatcher.clock.Now()
	keptSlots := 0.0
	for other, peak := range workload.peaks {
		if other != tenant && dispatcher.averageBelowShare(workload, snapshot, other) {
			keptSlots += max(peak.slotsNeeded(now)-float64(dispatcher.runningOf(workload, other)), 0)
		}
	}
	return int(min(math.Ceil(keptSlots), float64(slots(snapshot))))
}

// atLimit reports whether the daemon uses its part of the slots, which is proportional to its part of the
// demand on all daemons. Without demand on other daemons there is no limit. The mutex must be held.
func (dispatcher *Dispatcher) atLimit(workload *workload, snapshot Snapshot, keptSlots int) bool {
	if workload.target.Model == "" {
		return false
	}
	own := workload.running + workload.waiting()
	others := dispatcher.deps.Peers.Outstanding(workload.target.Model)
	if others <= 0 {
		return false
	}
	limit := slots(snapshot) - max(slots(snapshot)/route.ReserveDivisor, keptSlots)
	return workload.running*(own+others) >= max(limit*own, own+others)
}

// slots returns the number of slots of the candidates of this data centre, or of the remote ones if there are
// none.
func slots(snapshot Snapshot) int {
	candidates := snapshot.Local
	if len(candidates) == 0 {
		candidates = snapshot.Remote
	}
	total := 0
	for index := range candidates {
		total += candidates[index].Capacity()
	}
	return total
}

// requirements returns the current routing requirements of the waiting request. The mutex must be held.
func (dispatcher *Dispatcher) requirements(workload *workload, snapshot Snapshot, waiting *entry) route.Requirements {
	requirements := waiting.Item.requirements
	requirements.BelowShare = dispatcher.belowShare(workload, snapshot, waiting)
	requirements.BelowShareOnAverage = dispatcher.averageBelowShare(workload, snapshot, waiting.Tenant)
	if !requirements.BelowShareOnAverage {
		requirements.ReservedSlots, requirements.TotalSlots = dispatcher.keptSlots(workload, snapshot, waiting.Tenant), slots(snapshot)
	}
	if workload.target.Model != "" {
		requirements.Daemons = dispatcher.deps.Peers.Daemons()
	}
	if dispatcher.isPinned(waiting) {
		requirements.Only = dispatcher.inFlight[waiting.Item.fingerprint].upstream
	}
	return requirements
}
