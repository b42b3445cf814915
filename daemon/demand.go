package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
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

// demandSender sends demand reports to the decider of the data centre.
type demandSender interface {
	// sendDemand reports the entries and returns estimates. It fails if no decider responds.
	sendDemand(ctx context.Context, entries []peer.TargetDemand) (peer.DemandResult, error)
}

// demand reports waiting and running requests to the decider. Each report contains the current state rather
// than changes, so that the next report replaces a lost one and a new decider needs one report only.
type demand struct {
	demandSender demandSender
	arrivals     *arrivals
	clock        clock.Clock
	// failoverTime is the time within which a lost decider is expected to be replaced.
	failoverTime time.Duration
	// daemons returns the number of live daemons of the data centre.
	daemons func() int
	lock    sync.Mutex
	// reports has an entry for each target with a request, and for one without until that has been reported.
	reports map[catalogue.Target]dispatch.DemandReport
	// forecasts has the newest estimate of each model in reports.
	forecasts map[string]forecast
	// lostSince is the time of the first report without a response from a decider, or zero.
	lostSince time.Time
	// wake has room for one signal, which triggers a report before the interval ends.
	wake chan struct{}
}

func newDemand(demandSender demandSender, arrivals *arrivals, clock clock.Clock, failoverTime time.Duration, daemons func() int) *demand {
	return &demand{
		demandSender: demandSender,
		arrivals:     arrivals,
		clock:        clock,
		failoverTime: failoverTime,
		daemons:      daemons,
		reports:      map[catalogue.Target]dispatch.DemandReport{},
		forecasts:    map[string]forecast{},
		wake:         make(chan struct{}, 1),
	}
}

// Report replaces the current demand of the target. The first waiting request of a target triggers a report.
func (demand *demand) Report(report dispatch.DemandReport) {
	demand.lock.Lock()
	previous := demand.reports[report.Target]
	demand.reports[report.Target] = report
	demand.lock.Unlock()
	if report.Waiting > 0 && previous.Waiting == 0 {
		demand.signal()
	}
}

func (demand *demand) signal() {
	select {
	case demand.wake <- struct{}{}:
	default:
	}
}

// failoverMultiple is the multiple of failoverTime after which requests are refused for lack of a decider.
const failoverMultiple = 2

// Forecast returns the estimate for the model. If the decider is lost, the estimate is the time until a
// successor is expected, then unknown until twice that time, and after that an error of kind NoDecider.
func (demand *demand) Forecast(model string) (dispatch.Forecast, error) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	now := demand.clock.Now()
	if demand.lostSince.IsZero() {
		return demand.forecasts[model].evaluate(now)
	}
	lost := now.Sub(demand.lostSince)
	switch {
	case lost < demand.failoverTime:
		return dispatch.Forecast{Known: true, ReadyIn: demand.failoverTime - lost}, nil
	case lost < failoverMultiple*demand.failoverTime:
		return dispatch.Forecast{}, nil
	default:
		return dispatch.Forecast{}, outcome.New(outcome.NoDecider, "no daemon decides for this data centre").WithRetryAfter(demand.failoverTime)
	}
}

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

// lostFor returns the time for which no decider has responded, or zero.
func (demand *demand) lostFor(now time.Time) time.Duration {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	if demand.lostSince.IsZero() {
		return 0
	}
	return now.Sub(demand.lostSince)
}
