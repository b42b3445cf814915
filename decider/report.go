package decider

import (
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/placement"
)

// report is what one router said last.
type report struct {
	demands []placement.Demand
	at      time.Time
}

// Report takes the whole demand of one router, which replaces what it said before. Routers repeat
// it while something waits.
func (decider *Decider) Report(router string, demands []placement.Demand) {
	decider.mutex.Lock()
	if len(demands) == 0 {
		delete(decider.reports, router)
	} else {
		decider.reports[router] = report{demands: slices.Clone(demands), at: decider.deps.Clock.Now()}
	}
	decider.mutex.Unlock()
	select {
	case decider.wake <- struct{}{}:
	default:
	}
}

// needs returns the demand by model in order of names and forgets routers that stopped reporting.
func (decider *Decider) needs(now time.Time) []placement.Need {
	decider.mutex.Lock()
	defer decider.mutex.Unlock()
	byModel := map[string]int{}
	var needs []placement.Need
	for router, said := range decider.reports {
		if now.Sub(said.at) > decider.settings.DemandTTL {
			delete(decider.reports, router)
			continue
		}
		for _, demand := range said.demands {
			at, known := byModel[demand.Model]
			if !known {
				at = len(needs)
				byModel[demand.Model] = at
				needs = append(needs, placement.Need{Model: demand.Model})
			}
			addDemand(&needs[at], demand)
		}
	}
	slices.SortFunc(needs, func(a, b placement.Need) int { return strings.Compare(a.Model, b.Model) })
	return needs
}

func addDemand(need *placement.Need, demand placement.Demand) {
	if demand.Waiting > 0 && (need.Waiting == 0 || demand.Oldest.Before(need.Deadline)) {
		need.Deadline = demand.Oldest
	}
	need.Waiting += demand.Waiting
	need.Running += demand.Running
}
