package scheduler

import (
	"context"
	"reflect"
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/demand"
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
	if _, _, held := scheduler.deps.Tenure.Held(); !held {
		return directory.Announcement{}, ErrNotHolder
	}
	if !report.OnlyAsk {
		scheduler.mutex.Lock()
		now := scheduler.deps.Clock.Now()
		scheduler.reports[report.Name] = scheduler.reports[report.Name].with(report, now)
		scheduler.mutex.Unlock()
		scheduler.Wake()
	}
	timer := scheduler.deps.Clock.NewTimer(report.Wait)
	defer timer.Stop()
	for {
		scheduler.mutex.Lock()
		announced, changed := scheduler.announced, scheduler.changed
		if !report.OnlyAsk && !report.Partial {
			announced.Running = scheduler.running(report.Name)
		}
		scheduler.mutex.Unlock()
		if announced.Revision > 0 && announced.Newer(report.Fence, report.Revision) {
			return announced, nil
		}
		select {
		case <-changed:
		case <-timer.C():
			return announced, nil
		case <-ctx.Done():
			return announced, nil
		}
	}
}

// running returns the requests in flight from all daemons but the named one, by engine. The mutex is held.
func (scheduler *Scheduler) running(except string) map[topology.Incarnation]demand.Flight {
	sum := map[topology.Incarnation]demand.Flight{}
	now := scheduler.deps.Clock.Now()
	for name, heard := range scheduler.reports {
		if name == except || now.Sub(heard.at) > reportLife {
			continue
		}
		for place, flight := range heard.loads {
			sum[place.Incarnation] = sum[place.Incarnation].Plus(flight)
		}
	}
	return sum
}
