package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// silenceCase is a request whose upstream u1 sends nothing for a while. u2 takes work from then on.
type silenceCase struct {
	name string
	// at is the piece before which u1 is silent for the time silence. paused states that it answers no probes then.
	at      int
	silence time.Duration
	paused  bool
	// repeatable states that the request may run twice.
	repeatable bool
	// trouble is done 100 ms after the request was sent.
	trouble func(cluster *fakeCluster, dispatcher *Dispatcher)
	// want is the kind of the failure, or zero for a complete response, and generations those that were begun.
	want        outcome.Kind
	generations int
}

// changedFleet knows no model any more once changed is set.
type changedFleet struct {
	*fakeCluster
	changed atomic.Bool
}

func (fleet *changedFleet) Replicas(target catalogue.Target) (Snapshot, error) {
	if fleet.changed.Load() {
		return Snapshot{}, outcome.New(outcome.UnknownModel, "withdrawn")
	}
	return fleet.fakeCluster.Replicas(target)
}

// TestSilentLegIsLeftOnlyForASuccessor guards against issue 33: the dispatcher ended a generation that was silent for a
// second before it knew whether another upstream would go on.
func TestSilentLegIsLeftOnlyForASuccessor(t *testing.T) {
	const short, long = 1900 * time.Millisecond, 8 * time.Second
	refuse := func(status int) func(*fakeCluster, *Dispatcher) {
		return func(cluster *fakeCluster, _ *Dispatcher) {
			cluster.engines["u2"].set(func(engine *fakeEngine) {
				engine.generate = map[string]error{"b": &upstream.RefusedError{Status: status, Reason: "no"}}
			})
		}
	}
	spend := func(_ *fakeCluster, dispatcher *Dispatcher) {
		for dispatcher.budget.Withdraw() {
		}
	}
	leave := func(cluster *fakeCluster, _ *Dispatcher) { cluster.engines["u2"].leave(time.Hour) }
	cases := []silenceCase{
		{"short pause", 2, short, true, true, nil, 0, 1},
		{"short pause, not idempotent", 2, short, true, false, nil, 0, 1},
		{"short pause before the header", 1, short, true, true, nil, 0, 1},
		{"short pause before the header, not idempotent", 1, short, true, false, nil, 0, 1},
		{"long pause, not idempotent", 2, long, true, false, nil, 0, 1},
		{"budget empty", 2, long, true, true, spend, 0, 1},
		{"budget empty before the header", 1, long, true, true, spend, 0, 1},
		{"no other upstream", 2, long, true, true, leave, 0, 1},
		{"no other upstream before the header", 1, long, true, true, leave, 0, 1},
		{"other upstream full", 2, long, true, true, refuse(503), 0, -1},
		{"other upstream full before the header", 1, long, true, true, refuse(503), 0, -1},
		{"other upstream cannot resume", 2, long, true, true, refuse(410), 0, 2},
		{"other upstream unreachable", 2, long, true, true, func(cluster *fakeCluster, _ *Dispatcher) {
			cluster.engines["u2"].set(func(engine *fakeEngine) { engine.down = true })
		}, 0, -1},
		{"other upstream still loads the model", 2, long, true, true, func(cluster *fakeCluster, _ *Dispatcher) { cluster.remove("u2") }, 0, 1},
		{"other upstream holds another version", 2, long, true, true, func(cluster *fakeCluster, _ *Dispatcher) {
			cluster.engines["u2"].set(func(engine *fakeEngine) { engine.version = "v2" })
		}, 0, 1},
		{"other upstream has another release", 2, long, true, true, func(cluster *fakeCluster, _ *Dispatcher) {
			cluster.engines["u2"].set(func(engine *fakeEngine) { engine.release = "r2" })
		}, 0, 1},
		{"other upstream has another release before the header", 1, long, true, true, func(cluster *fakeCluster, _ *Dispatcher) {
			cluster.engines["u2"].set(func(engine *fakeEngine) { engine.release = "r2" })
		}, 0, 2},
		{"model withdrawn", 2, long, true, true, func(_ *fakeCluster, dispatcher *Dispatcher) {
			dispatcher.deps.Fleet.(*changedFleet).changed.Store(true)
		}, 0, 1},
		{"stop begun", 2, long, true, true, func(_ *fakeCluster, dispatcher *Dispatcher) { dispatcher.stop() }, 0, 2},
		{"other upstream goes on", 2, long, true, true, nil, 0, 2},
		{"other upstream goes on before the header", 1, long, true, true, nil, 0, 2},
		{"connection lost", 2, forever, false, true, nil, 0, 2},
		{"connection lost before the header", 1, forever, false, true, nil, 0, 2},
		{"connection lost twice", 2, forever, false, true, func(cluster *fakeCluster, _ *Dispatcher) {
			cluster.engines["u1"].set(func(engine *fakeEngine) { engine.quietResumes = 1 })
		}, 0, 3},
		{"connection lost, not idempotent", 2, forever, false, false, nil, outcome.UpstreamLost, 1},
		{"connection lost before the header, not idempotent", 1, forever, false, false, nil, outcome.DeadlineRunning, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t) })
		})
	}
}

func (c silenceCase) run(t *testing.T) {
	cluster := newCluster("u1", "u2")
	generations := 0
	first, other := cluster.engines["u1"], cluster.engines["u2"]
	first.generations, other.generations = &generations, &generations
	first.quietAt, first.quiet = c.at, c.silence
	other.leaving = true
	dispatcher := cluster.dispatcher(Settings{})
	dispatcher.deps.Fleet = &changedFleet{fakeCluster: cluster}
	time.AfterFunc(100*time.Millisecond, func() {
		first.set(func(engine *fakeEngine) { engine.quietAt = 0 })
		other.set(func(engine *fakeEngine) { engine.leaving = false })
		if c.paused {
			first.freeze(c.silence - 80*time.Millisecond)
		}
		if c.trouble != nil {
			c.trouble(cluster, dispatcher)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), totalTime)
	defer cancel()
	req, sink, begun := chatRequest("b"), &fakeSink{}, time.Now()
	req.Idempotent = c.repeatable
	err := dispatcher.Do(ctx, req, sink)
	if c.want == 0 && (err != nil || string(sink.body) != wholeStream) {
		t.Errorf("ended after %v with %v and %q", time.Since(begun), err, sink.body)
	}
	if c.want != 0 && !outcome.Is(err, c.want) {
		t.Errorf("ended with %v", err)
	}
	if c.generations >= 0 && generations != c.generations {
		t.Errorf("%d generations were begun, want %d", generations, c.generations)
	}
	dispatcher.Drain(t.Context())
	if first.active+other.active != 0 || len(dispatcher.inFlight) != 0 {
		t.Errorf("%d streams and %d requests were left", first.active+other.active, len(dispatcher.inFlight))
	}
}

// remove removes the engine from the candidates.
func (cluster *fakeCluster) remove(name string) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.order = []string{"u1"}
	delete(cluster.engines, name)
}
