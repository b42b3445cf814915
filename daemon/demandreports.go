package daemon

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/peer"
)

const (
	// demandWaitingInterval is the shortest regular interval of reports while a request waits.
	demandWaitingInterval = 100 * time.Millisecond
	// demandIntervalPerDaemon is the part of the interval for each live daemon of the data centre. It limits
	// all of them together to 200 reports a second.
	demandIntervalPerDaemon = 5 * time.Millisecond
	// demandRunningInterval is the interval of reports while no request waits.
	demandRunningInterval = time.Second
	// demandMinInterval is the shortest time between two reports.
	demandMinInterval = 10 * time.Millisecond
	// demandTimeout is the time limit of one report, and of one request for a grant.
	demandTimeout = time.Second
)

// run sends reports until ctx ends.
func (demand *demand) run(ctx context.Context) error {
	for {
		demand.report(ctx)
		select {
		case <-demand.wake:
		case <-demand.clock.After(demand.interval()):
		case <-ctx.Done():
			return ctx.Err()
		}
		demand.clock.Sleep(demandMinInterval)
	}
}

// interval returns the time to the next report. It calls daemons without holding its lock, because other
// parts hold their locks while they call Forecast; locking in both orders could deadlock.
func (demand *demand) interval() time.Duration {
	if !demand.isWaiting() {
		return demandRunningInterval
	}
	scaled := time.Duration(demand.daemons()) * demandIntervalPerDaemon
	return min(demandRunningInterval, max(demandWaitingInterval, scaled))
}

// isWaiting reports whether a request waits.
func (demand *demand) isWaiting() bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	for _, report := range demand.reports {
		if report.Waiting > 0 {
			return true
		}
	}
	return false
}

// report sends all entries, if there are any or the decider is lost. Arrivals that could not be sent are kept.
func (demand *demand) report(ctx context.Context) {
	arrived := demand.arrivals.takeCounts()
	entries := demand.entries(arrived)
	if len(entries) == 0 && !demand.isLost() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	response, err := demand.demandSender.sendDemand(ctx, entries)
	if err != nil {
		demand.arrivals.restoreCounts(arrived)
	}
	demand.apply(entries, response, err)
}

func (demand *demand) isLost() bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	return !demand.lostSince.IsZero()
}

// entries returns an entry for each target with a report or with arrivals.
func (demand *demand) entries(arrived map[catalogue.Target]int) []peer.TargetDemand {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	entries := make([]peer.TargetDemand, 0, len(demand.reports))
	for target, report := range demand.reports {
		entries = append(entries, peer.TargetDemand{
			Model:          target.Model,
			Adapter:        target.Adapter,
			Waiting:        report.Waiting,
			Running:        report.Running,
			Arrived:        arrived[target],
			OldestDeadline: report.Deadline,
		})
	}
	for target, count := range arrived {
		if _, ok := demand.reports[target]; !ok {
			entries = append(entries, peer.TargetDemand{Model: target.Model, Adapter: target.Adapter, Arrived: count})
		}
	}
	return entries
}

// apply stores the estimates of the response and removes targets without requests, or marks the decider as
// lost.
func (demand *demand) apply(entries []peer.TargetDemand, response peer.DemandResult, err error) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	now := demand.clock.Now()
	if err != nil {
		demand.markLost(now, err)
		return
	}
	if !demand.lostSince.IsZero() {
		event.DeciderFound.Log("Decider", response.Decider)
	}
	demand.lostSince = time.Time{}
	for _, estimate := range response.Estimates {
		demand.forecasts[estimate.Model] = forecast{
			readiness: estimate.Readiness, ready: now.Add(estimate.ReadyIn), receivedAt: now, reason: estimate.Reason,
		}
	}
	demand.removeFinished(entries)
}

// markLost records the loss of the decider unless it is lost already. The caller holds the lock.
func (demand *demand) markLost(now time.Time, err error) {
	if !demand.lostSince.IsZero() {
		return
	}
	demand.lostSince = now
	event.DeciderLost.LogError(err)
}

// removeFinished removes targets without requests after that was reported. The caller holds the lock.
func (demand *demand) removeFinished(entries []peer.TargetDemand) {
	for _, entry := range entries {
		target := catalogue.Target{Model: entry.Model, Adapter: entry.Adapter}
		report := demand.reports[target]
		if entry.Waiting+entry.Running == 0 && report.Waiting+report.Running == 0 {
			delete(demand.reports, target)
			demand.removeForecast(target.Model)
		}
	}
}

// removeForecast removes the forecast of a model none of whose targets has requests. The caller holds the lock.
func (demand *demand) removeForecast(model string) {
	for target := range demand.reports {
		if target.Model == model {
			return
		}
	}
	delete(demand.forecasts, model)
}
