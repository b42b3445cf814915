package scheduler

import (
	"context"
	"reflect"
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/topology"
)

// announce makes a new announcement if something changed. The mutex is held.
func (scheduler *Scheduler) announce(forecasts []directory.Forecast) {
	next := directory.Announcement{Fence: scheduler.fence, Revision: scheduler.announced.Revision + 1, Forecasts: forecasts}
	changed := len(scheduler.engines) != len(scheduler.announced.Placements) || !slices.Equal(forecasts, scheduler.announced.Forecasts)
	before := make(map[topology.Incarnation]*directory.Placement, len(scheduler.announced.Placements))
	for index := range scheduler.announced.Placements {
		placement := &scheduler.announced.Placements[index]
		before[placement.Incarnation] = placement
	}
	for _, engine := range scheduler.engines {
		placement := directory.Placement{Incarnation: engine.Incarnation, Holding: engine.usable(), Loading: engine.loading(), Revision: next.Revision}
		if known, ok := before[engine.Incarnation]; ok && known.Loading == placement.Loading && reflect.DeepEqual(known.Holding, placement.Holding) {
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

// Sync takes the report of a daemon and returns the newest announcement, waiting for one that is newer
// than the daemon knows as long as the report allows. It fails with ErrNotHolder.
func (scheduler *Scheduler) Sync(ctx context.Context, report mesh.Report) (directory.Announcement, error) {
	if _, _, held := scheduler.deps.Lease.Held(); !held {
		return directory.Announcement{}, ErrNotHolder
	}
	if !report.OnlyAsk {
		scheduler.take(report)
	}
	poll := scheduler.poll(report)
	defer poll.timer.Stop()
	for {
		announced, changed, news := scheduler.news(&poll)
		if news || poll.over {
			return announced, nil
		}
		select {
		case <-changed:
		case <-poll.timer.C():
			poll.pass()
		case <-ctx.Done():
			return announced, nil
		}
	}
}

// take counts the report and plans at once if requests began or ended to wait.
func (scheduler *Scheduler) take(report mesh.Report) {
	scheduler.mutex.Lock()
	changed := scheduler.ledger.take(report, scheduler.deps.Clock.Now())
	scheduler.mutex.Unlock()
	if changed {
		scheduler.Wake()
	}
}
