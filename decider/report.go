package decider

import (
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/placement"
)

// report is the latest demand of one router.
type report struct {
	demands []placement.Demand
	at      time.Time
}

// Report replaces the demand of one router by the given one; an empty one removes it. Routers
// repeat the report while requests wait.
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

// totalDemands returns the demand by model, sorted by name, and drops the reports that are older
// than DemandTTL.
func (decider *Decider) totalDemands(now time.Time) []placement.ModelDemand {
	decider.mutex.Lock()
	defer decider.mutex.Unlock()
	byModel := map[string]int{}
	var totalDemands []placement.ModelDemand
	for router, latest := range decider.reports {
		if now.Sub(latest.at) > decider.settings.DemandTTL {
			delete(decider.reports, router)
			continue
		}
		for _, demand := range latest.demands {
			at, known := byModel[demand.Model]
			if !known {
				at = len(totalDemands)
				byModel[demand.Model] = at
				totalDemands = append(totalDemands, placement.ModelDemand{Model: demand.Model})
			}
			addDemand(&totalDemands[at], demand)
		}
	}
	slices.SortFunc(totalDemands, func(a, b placement.ModelDemand) int { return strings.Compare(a.Model, b.Model) })
	return totalDemands
}

func addDemand(total *placement.ModelDemand, demand placement.Demand) {
	if demand.Waiting > 0 && (total.Waiting == 0 || demand.Oldest.Before(total.Deadline)) {
		total.Deadline = demand.Oldest
	}
	total.Waiting += demand.Waiting
	total.Running += demand.Running
}
