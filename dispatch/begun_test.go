package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/upstream"
)

// TestBrokenStreamWaitsForAnUpstream guards against issue 33: a begun stream was cut at once when its connection broke
// while no upstream took it.
func TestBrokenStreamWaitsForAnUpstream(t *testing.T) {
	const trouble = 3 * time.Second
	all := func(change func(engine *fakeEngine)) func(*fakeCluster, *Dispatcher) {
		return func(cluster *fakeCluster, _ *Dispatcher) {
			for _, engine := range cluster.engines {
				engine.set(change)
			}
		}
	}
	refuse := func(status int) func(*fakeCluster, *Dispatcher) {
		return all(func(engine *fakeEngine) {
			engine.generate = map[string]error{"b": &upstream.RefusedError{Status: status, Reason: "no"}}
		})
	}
	takeAgain := all(func(engine *fakeEngine) { engine.generate, engine.leaving, engine.down = nil, false, false })
	nothing := func(*fakeCluster, *Dispatcher) {}
	cases := []struct {
		name string
		// begin is done before the stream breaks, and end after trouble.
		begin, end func(cluster *fakeCluster, dispatcher *Dispatcher)
		// want is the kind of the failure, or zero for a complete response.
		want outcome.Kind
		// longest is the longest time in which the request may end.
		longest time.Duration
	}{
		{"budget empty", func(_ *fakeCluster, dispatcher *Dispatcher) { spendBudget(dispatcher) }, func(_ *fakeCluster, dispatcher *Dispatcher) { fillBudget(dispatcher) }, 0, trouble + time.Second},
		{"all upstreams full", refuse(503), takeAgain, 0, trouble + time.Second},
		{"all upstreams leaving", all(func(engine *fakeEngine) { engine.leaving = true }), takeAgain, 0, trouble + time.Second},
		{"all upstreams leaving and no decider", func(cluster *fakeCluster, dispatcher *Dispatcher) {
			all(func(engine *fakeEngine) { engine.leaving = true })(cluster, dispatcher)
			cluster.setForecast(Forecast{}, outcome.New(outcome.NoDecider, "none"))
		}, takeAgain, 0, trouble + time.Second},
		{"model is being loaded", func(cluster *fakeCluster, dispatcher *Dispatcher) {
			all(func(engine *fakeEngine) { engine.leaving = true })(cluster, dispatcher)
			cluster.setForecast(Forecast{Known: true, ReadyIn: trouble}, nil)
		}, takeAgain, 0, trouble + time.Second},
		{"queue full", func(_ *fakeCluster, dispatcher *Dispatcher) { dispatcher.setWaiting(defaultTotal) }, func(_ *fakeCluster, dispatcher *Dispatcher) { dispatcher.setWaiting(0) }, 0, trouble + time.Second},
		{"no connection", all(func(engine *fakeEngine) { engine.down = true }), takeAgain, 0, trouble + 2*time.Second},
		{"stop begun", func(cluster *fakeCluster, dispatcher *Dispatcher) {
			refuse(503)(cluster, dispatcher)
			dispatcher.stop()
		}, takeAgain, 0, trouble + time.Second},
		{"only its own upstream can resume", func(cluster *fakeCluster, _ *Dispatcher) {
			cluster.engines["u2"].set(func(engine *fakeEngine) { engine.cannotResume = true })
		}, nothing, 0, time.Second},
		{"all upstreams full for longer", refuse(503), nothing, outcome.UpstreamLost, resumeTimeout + time.Second},
		{"no upstream can resume", refuse(410), nothing, outcome.UpstreamLost, time.Second},
		{"only other versions", all(func(engine *fakeEngine) { engine.version = "v2" }), nothing, outcome.UpstreamLost, time.Second},
		{"only other releases", all(func(engine *fakeEngine) { engine.release, engine.boot = "r2", engine.name+"/2" }), nothing, outcome.UpstreamLost, time.Second},
		{"loading takes too long", func(cluster *fakeCluster, dispatcher *Dispatcher) {
			all(func(engine *fakeEngine) { engine.leaving = true })(cluster, dispatcher)
			cluster.setForecast(Forecast{Known: true, ReadyIn: time.Minute}, nil)
		}, nothing, outcome.UpstreamLost, time.Second},
		{"model withdrawn", func(_ *fakeCluster, dispatcher *Dispatcher) {
			dispatcher.deps.Fleet.(*changedFleet).changed.Store(true)
		}, nothing, outcome.UpstreamLost, time.Second},
		{"quarantined", func(_ *fakeCluster, dispatcher *Dispatcher) {
			for _, boot := range []string{"x/1", "y/1"} {
				dispatcher.registry.AddCrash(fingerprint("b"), quarantine.Crash{Upstream: boot, BootID: boot}, time.Now())
			}
		}, nothing, outcome.UpstreamLost, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster("u1", "u2")
				cluster.breakStreams(3, upstream.ErrNoResponse)
				dispatcher := cluster.dispatcher(Settings{})
				dispatcher.deps.Fleet = &changedFleet{fakeCluster: cluster}
				ctx, stop := context.WithTimeout(t.Context(), totalTime)
				var task sync.WaitGroup
				task.Go(func() { dispatcher.Run(ctx) })
				time.AfterFunc(15*time.Millisecond, func() { c.begin(cluster, dispatcher) })
				time.AfterFunc(trouble, func() { c.end(cluster, dispatcher) })
				sink, begun := &fakeSink{}, time.Now()
				err := dispatcher.Do(ctx, chatRequest("b"), sink)
				took := time.Since(begun)
				if c.want == 0 && (err != nil || string(sink.body) != wholeStream) || c.want != 0 && !outcome.Is(err, c.want) {
					t.Errorf("ended with %v and %q", err, sink.body)
				}
				if took > c.longest {
					t.Errorf("ended after %v", took)
				}
				time.Sleep(trouble)
				stop()
				task.Wait()
			})
		})
	}
	if invariant.Violations() != 0 {
		t.Error("an invariant was broken")
	}
}

// spendBudget takes all retries.
func spendBudget(dispatcher *Dispatcher) {
	for dispatcher.budget.Withdraw() {
	}
}

// fillBudget gives back some retries.
func fillBudget(dispatcher *Dispatcher) {
	for range 5 {
		dispatcher.budget.Return()
	}
}

// setForecast sets what the decider forecasts.
func (cluster *fakeCluster) setForecast(forecast Forecast, err error) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.forecast, cluster.forecastErr = forecast, err
}

// setWaiting sets the number of requests that seem to wait.
func (dispatcher *Dispatcher) setWaiting(waiting int) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.waiting = waiting
}
