package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/peer"
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

// lostFor returns the time for which no decider has responded, or zero.
func (demand *demand) lostFor(now time.Time) time.Duration {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	if demand.lostSince.IsZero() {
		return 0
	}
	return now.Sub(demand.lostSince)
}
