package relay

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/topology"
)

// TestSilenceOfAllReplicasEndsNoStream guards against issue 47: sound replicas said nothing for a second or so, and the daemon
// ended begun streams for others that were as silent, which cut them or brought them to their deadline.
func TestSilenceOfAllReplicasEndsNoStream(t *testing.T) {
	const silence = 1600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		pausing := func() step { return parted(io.EOF, part{0, events(1, 2)}, part{silence, events(3, 4)}) }
		fixture := newFixture(pausing(), pausing(), step{noResponse: true}, step{noResponse: true})
		clients := make([]client, 2)
		failures := make([]*outcome.Error, 2)
		var streams sync.WaitGroup
		for index := range clients {
			streams.Go(func() {
				_, failures[index] = fixture.relay.Serve(t.Context(), fixture.request("/resume/x"), &clients[index])
			})
		}
		streams.Wait()
		for index := range clients {
			if got := clients[index].body.String(); failures[index] != nil || got != events(1, 4) {
				t.Errorf("stream %d ended as %v with %q", index, failures[index], got)
			}
		}
		if made := len(fixture.upstream.attempts); made != 2 {
			t.Errorf("%d attempts, want 2", made)
		}
	})
}

// TestRefusedConnectionsEndNoSilentStream guards against issue 47: two other replicas refused connections while a stream was silent,
// and its attempt was ended for another daemon although its own replica was reached and went on.
func TestRefusedConnectionsEndNoSilentStream(t *testing.T) {
	const silence = 1600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		steps := []step{parted(io.EOF, part{0, events(1, 2)}, part{silence, events(3, 4)})}
		for range 20 {
			steps = append(steps, step{err: exchange.ErrNotSent})
		}
		fixture := newFixture(steps...)
		fixture.setReleases(map[string]string{"a": "", "b": "", "c": ""})
		saveRetries(fixture)
		lender := &lenders{}
		fixture.relay.deps.Lender = lender
		failure := fixture.serve(t.Context(), "/resume/x")
		if got := fixture.client.body.String(); failure != nil || got != events(1, 4) {
			t.Errorf("ended as %v with %q", failure, got)
		}
		if asked := len(lender.allowances); asked > 0 {
			t.Errorf("%d attempts through other daemons", asked)
		}
	})
}

// TestSilentReplicaHidesNoOther guards against issue 47: the connection of a stream was dead, and no other one to its replica was
// tried, since a replica that was silent as well was chosen each time and then not used.
func TestSilentReplicaHidesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := func() step { return parted(io.EOF, part{0, events(1, 2)}, part{time.Hour, ""}) }
		fixture := newFixture(dead(), dead(), ok(events(3, 4)))
		saveRetries(fixture)
		setSlots := func(slots map[string]int) {
			var engines []topology.Replica
			for id, count := range slots {
				engines = append(engines, topology.Replica{
					Incarnation: topology.Incarnation{ID: id}, Service: "engine", Zone: "z", Slots: count,
					Holding: topology.Holding{Models: []topology.LoadedModel{{Model: "m"}}},
				})
			}
			fixture.directory.SetReplicas(engines)
		}
		begun := time.Now()
		var other client
		var streams sync.WaitGroup
		streams.Go(func() {
			setSlots(map[string]int{"a": 1})
			failure := fixture.serve(t.Context(), "/resume/x")
			if got := fixture.client.body.String(); failure != nil || got != events(1, 4) || time.Since(begun) > 4*time.Second {
				t.Errorf("ended as %v after %v with %q", failure, time.Since(begun), got)
			}
		})
		synctest.Wait()
		// The other replica has the lower load, so that it is the better choice of the two.
		setSlots(map[string]int{"a": 1, "b": 1000})
		streams.Go(func() {
			// It ends at its deadline.
			_, _ = fixture.relay.Serve(t.Context(), fixture.request("/stream/x"), &other)
		})
		streams.Wait()
		if made := fixture.upstream.attempts; len(made) != 3 || made[2].Replica.ID != "a" {
			t.Errorf("the attempts were %+v", made)
		}
	})
}

// TestSilenceOfAllReplicasEndsNoCall guards against issue 47: calls that may run again changed places between replicas that were all
// silent for a while, and got no answer, although the first replica of each answered once the silence was over.
func TestSilenceOfAllReplicasEndsNoCall(t *testing.T) {
	const silence = 1600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(late(silence, ok("answer")), late(silence, ok("answer")), step{noResponse: true}, step{noResponse: true})
		clients := make([]client, 2)
		failures := make([]*outcome.Error, 2)
		var calls sync.WaitGroup
		for index := range clients {
			calls.Go(func() {
				_, failures[index] = fixture.relay.Serve(t.Context(), fixture.request("/again/x"), &clients[index])
			})
		}
		calls.Wait()
		for index := range clients {
			if got := clients[index].body.String(); failures[index] != nil || got != "answer" {
				t.Errorf("call %d ended as %v with %q", index, failures[index], got)
			}
		}
	})
}

// cutOffLender is a Lender of a daemon that counts as cut off, with all its paths lost, from some time on.
type cutOffLender struct {
	lenders
	isCutOff atomic.Bool
	// delay is the time that Lend takes, unless the attempt is cancelled.
	delay time.Duration
}

func (lender *cutOffLender) CutOff() bool     { return lender.isCutOff.Load() }
func (lender *cutOffLender) AnyDoubted() bool { return lender.isCutOff.Load() }

func (lender *cutOffLender) Path(topology.Incarnation, string) reach.State {
	if lender.isCutOff.Load() {
		return reach.Dead
	}
	return reach.Sound
}

func (lender *cutOffLender) Lend(ctx context.Context, request *exchange.Request, budget time.Duration, allowance Allowance) (*LentReply, error) {
	if !wait(ctx, lender.delay) {
		return nil, exchange.ErrLost
	}
	return lender.lenders.Lend(ctx, request, budget, allowance)
}

// TestCutOffDaemonEndsSilentStreamOnlyForAnother guards against issue 47: a daemon whose new connections failed for a moment ended a
// silent stream before another daemon had taken it.
func TestCutOffDaemonEndsSilentStreamOnlyForAnother(t *testing.T) {
	const silence = 1600 * time.Millisecond
	full := lentStep{refusal: &Refusal{Failure: outcome.New(outcome.QueueFull, "full")}}
	cases := []struct {
		name  string
		lent  []lentStep
		delay time.Duration
		// own is the text that the first attempt sends after the silence.
		own  string
		took time.Duration
	}{
		{"nobody lends", nil, 0, events(3, 4), silence},
		{"the other daemon is full", []lentStep{full, full, full, full, full, full, full}, 0, events(3, 4), silence},
		{"the other daemon is full after a while", []lentStep{full, full, full, full, full, full, full}, 100 * time.Millisecond, events(3, 4), silence},
		{"the other daemon goes on", []lentStep{{step: ok(events(3, 4))}}, 0, "", time.Second},
		{"the other daemon goes on later", []lentStep{full, {step: ok(events(3, 4))}}, 0, "", 1025 * time.Millisecond},
		{"the other daemon responds late", []lentStep{{step: ok(events(3, 4))}}, 300 * time.Millisecond, "", 1300 * time.Millisecond},
		{"the other daemon accepts and then refuses", []lentStep{full, {step: ok(events(3, 4))}}, 300 * time.Millisecond, "", 1625 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steps := []step{parted(io.EOF, part{0, events(1, 2)}, part{silence, c.own})}
				for range 20 {
					steps = append(steps, step{err: exchange.ErrNotSent})
				}
				fixture := newFixture(steps...)
				saveRetries(fixture)
				lender := &cutOffLender{lenders: lenders{steps: c.lent}, delay: c.delay}
				fixture.relay.deps.Lender = lender
				time.AfterFunc(silence/4, func() { lender.isCutOff.Store(true) })
				begun := time.Now()
				failure := fixture.serve(t.Context(), "/resume/x")
				took := time.Since(begun)
				synctest.Wait()
				if got := fixture.client.body.String(); failure != nil || got != events(1, 4) || took != c.took {
					t.Errorf("ended as %v after %v with %q", failure, took, got)
				}
				fixture.checkNothingInFlight(t)
			})
		})
	}
}
