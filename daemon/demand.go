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
	// demandBusy is the shortest interval of reports while a request waits.
	demandBusy = 100 * time.Millisecond
	// demandPerDaemon is the part of the interval for each live daemon of the data centre, so that all
	// of them together make at most 200 reports a second.
	demandPerDaemon = 5 * time.Millisecond
	// demandRest is the interval of reports while requests only run.
	demandRest = time.Second
	// demandGap is the shortest time between two reports.
	demandGap = 10 * time.Millisecond
	// demandTimeout bounds one report.
	demandTimeout = time.Second
)

// asker asks the decider of the data centre.
type asker interface {
	// ask delivers the wants and fails if no decider answers.
	ask(ctx context.Context, wants []peer.TargetDemand) (peer.DemandResult, error)
}

// demand reports what waits and runs to the decider. Reports are levels: a lost one is made good
// by the next, and a new decider learns all from its first.
type demand struct {
	asker    asker
	arrivals *arrivals
	clock    clock.Clock
	// successor is the time after which a lost decider is expected to be replaced.
	successor time.Duration
	// daemons returns the number of live daemons of the data centre.
	daemons func() int
	lock    sync.Mutex
	// needs has an entry for each target with a request, and for one without until that is reported.
	needs map[catalogue.Target]dispatch.Need
	// forecasts has an entry for each model in needs.
	forecasts map[string]forecast
	// lostSince is the time of the first report without an answer, or zero.
	lostSince time.Time
	// hurry has room for one signal.
	hurry chan struct{}
}

func newDemand(asker asker, arrivals *arrivals, clock clock.Clock, successor time.Duration, daemons func() int) *demand {
	return &demand{
		asker:     asker,
		arrivals:  arrivals,
		clock:     clock,
		successor: successor,
		daemons:   daemons,
		needs:     map[catalogue.Target]dispatch.Need{},
		forecasts: map[string]forecast{},
		hurry:     make(chan struct{}, 1),
	}
}

// Report replaces the need of the target.
func (demand *demand) Report(need dispatch.Need) {
	demand.lock.Lock()
	old := demand.needs[need.Target]
	demand.needs[need.Target] = need
	demand.lock.Unlock()
	if need.Waiting > 0 && old.Waiting == 0 {
		demand.signal()
	}
}

func (demand *demand) signal() {
	select {
	case demand.hurry <- struct{}{}:
	default:
	}
}

// lateSuccessor is the number of expected times after which no successor is waited for any more.
const lateSuccessor = 2

// Forecast returns the estimate for the model. While the decider is lost, the estimate is the time
// until a successor is expected; nothing is known while that is late, and requests are refused once
// it is twice as late.
func (demand *demand) Forecast(model string) (dispatch.Forecast, error) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	now := demand.clock.Now()
	if demand.lostSince.IsZero() {
		return demand.forecasts[model].told(now)
	}
	lost := now.Sub(demand.lostSince)
	switch {
	case lost < demand.successor:
		return dispatch.Forecast{Known: true, Ready: demand.successor - lost}, nil
	case lost < lateSuccessor*demand.successor:
		return dispatch.Forecast{}, nil
	default:
		return dispatch.Forecast{}, outcome.New(outcome.NoDecider, "no daemon decides for this data centre").WithRetryAfter(demand.successor)
	}
}

// run reports until ctx ends.
func (demand *demand) run(ctx context.Context) error {
	for {
		demand.report(ctx)
		select {
		case <-demand.hurry:
		case <-demand.clock.After(demand.interval()):
		case <-ctx.Done():
			return ctx.Err()
		}
		demand.clock.Sleep(demandGap)
	}
}

// interval returns the time to the next report. It asks for the number of daemons without its lock,
// since others hold theirs while they ask for a forecast.
func (demand *demand) interval() time.Duration {
	if !demand.isWaiting() {
		return demandRest
	}
	shared := time.Duration(demand.daemons()) * demandPerDaemon
	return min(demandRest, max(demandBusy, shared))
}

func (demand *demand) isWaiting() bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	for _, need := range demand.needs {
		if need.Waiting > 0 {
			return true
		}
	}
	return false
}

// report sends all needs, if there are any or the decider is to be found again.
func (demand *demand) report(ctx context.Context) {
	arrived := demand.arrivals.take()
	wants := demand.wants(arrived)
	if len(wants) == 0 && !demand.isLost() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	answer, err := demand.asker.ask(ctx, wants)
	if err != nil {
		demand.arrivals.giveBack(arrived)
	}
	demand.learn(wants, answer, err)
}

func (demand *demand) isLost() bool {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	return !demand.lostSince.IsZero()
}

func (demand *demand) wants(arrived map[catalogue.Target]int) []peer.TargetDemand {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	wants := make([]peer.TargetDemand, 0, len(demand.needs))
	for target, need := range demand.needs {
		wants = append(wants, peer.TargetDemand{
			Model:          target.Model,
			Adapter:        target.Adapter,
			Waiting:        need.Waiting,
			Running:        need.Running,
			Arrived:        arrived[target],
			OldestDeadline: need.Deadline,
		})
	}
	for target, count := range arrived {
		if _, ok := demand.needs[target]; !ok {
			wants = append(wants, peer.TargetDemand{Model: target.Model, Adapter: target.Adapter, Arrived: count})
		}
	}
	return wants
}

func (demand *demand) learn(wants []peer.TargetDemand, answer peer.DemandResult, err error) {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	now := demand.clock.Now()
	if err != nil {
		demand.lose(now, err)
		return
	}
	if !demand.lostSince.IsZero() {
		event.DeciderFound.Log("Decider", answer.Decider)
	}
	demand.lostSince = time.Time{}
	for _, estimate := range answer.Estimates {
		demand.forecasts[estimate.Model] = forecast{
			readiness: estimate.Readiness, ready: now.Add(estimate.ReadyIn), heard: now, reason: estimate.Reason,
		}
	}
	demand.forget(wants)
}

func (demand *demand) lose(now time.Time, err error) {
	if !demand.lostSince.IsZero() {
		return
	}
	demand.lostSince = now
	event.DeciderLost.LogError(err)
}

// forget drops targets whose end was reported. The caller holds the lock.
func (demand *demand) forget(wants []peer.TargetDemand) {
	for _, want := range wants {
		target := catalogue.Target{Model: want.Model, Adapter: want.Adapter}
		need := demand.needs[target]
		if want.Waiting+want.Running == 0 && need.Waiting+need.Running == 0 {
			delete(demand.needs, target)
			delete(demand.forecasts, target.Model)
		}
	}
}

// lostFor returns the time for which no decider has answered, or zero.
func (demand *demand) lostFor(now time.Time) time.Duration {
	demand.lock.Lock()
	defer demand.lock.Unlock()
	if demand.lostSince.IsZero() {
		return 0
	}
	return now.Sub(demand.lostSince)
}
