package scheduler

import (
	"context"
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/topology"
)

// announce publishes a new announcement if placements or forecasts changed. The mutex is held.
func (scheduler *Scheduler) announce(forecasts []directory.Forecast) {
	next := directory.Announcement{Fence: scheduler.fence, Revision: scheduler.announced.Revision + 1, Forecasts: forecasts}
	changed := len(scheduler.engines) != len(scheduler.announced.Placements) || !slices.Equal(forecasts, scheduler.announced.Forecasts)
	before := make(map[topology.Incarnation]*directory.Placement, len(scheduler.announced.Placements))
	for index := range scheduler.announced.Placements {
		placement := &scheduler.announced.Placements[index]
		before[placement.Incarnation] = placement
	}
	for _, engine := range scheduler.engines {
		placement := directory.Placement{Incarnation: engine.Incarnation, Holding: engine.usableHolding(), Loading: engine.loading(), Revision: next.Revision}
		if known, ok := before[engine.Incarnation]; ok && known.Loading == placement.Loading && sameUsable(&known.Holding, &placement.Holding) {
			placement.Revision = known.Revision
		} else {
			changed = true
		}
		next.Placements = append(next.Placements, placement)
	}
	if !changed {
		return
	}
	slices.SortFunc(next.Placements, func(a, b directory.Placement) int { return strings.Compare(a.ID, b.ID) })
	scheduler.announced = next
	close(scheduler.changed)
	scheduler.changed = make(chan struct{})
}

// sameUsable reports whether two usable holdings are equal. It runs for each engine in each step.
func sameUsable(a, b *topology.Holding) bool {
	return a.Orders == b.Orders && slices.EqualFunc(a.Models, b.Models, func(first, second topology.LoadedModel) bool {
		return first.Model == second.Model && first.Version == second.Version && slices.Equal(first.Adapters, second.Adapters)
	})
}

// Sync records the report of a daemon and returns the newest announcement. It waits up to report.Wait for one
// newer than the announcement named in the report. It returns ErrNotHolder if the lease is not held.
func (scheduler *Scheduler) Sync(ctx context.Context, report mesh.Report) (directory.Announcement, error) {
	if _, _, held := scheduler.deps.Lease.Held(); !held {
		return directory.Announcement{}, ErrNotHolder
	}
	if !report.PollOnly {
		scheduler.addReport(report)
	}
	poll := scheduler.newLongPoll(report)
	defer poll.timer.Stop()
	for {
		announced, changed, due := scheduler.nextAnnouncement(&poll)
		if due || poll.timedOut {
			return announced, nil
		}
		select {
		case <-changed:
		case <-poll.timer.C():
			poll.timerFired()
		case <-ctx.Done():
			return announced, nil
		}
	}
}

// addReport adds the report to the demand and triggers a step if the number of waiting requests changed.
func (scheduler *Scheduler) addReport(report mesh.Report) {
	scheduler.mutex.Lock()
	changed := scheduler.aggregator.add(report, scheduler.deps.Clock.Now())
	scheduler.mutex.Unlock()
	if changed {
		scheduler.Wake()
	}
}
