package relay

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

// TestWaitingRequestIsRefusedOnImportedCrashes guards against issue 22: a request that waits for its model has
// already passed the quarantine check when another daemon reports the last crash that counts against it.
func TestWaitingRequestIsRefusedOnImportedCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(ok(events(1, 9)))
		fixture.setModels()
		begun := time.Now()
		time.AfterFunc(500*time.Millisecond, func() {
			fingerprint := fixture.request("/stream/x").Fingerprint()
			suspect := quarantine.Suspect{Fingerprint: fingerprint, Until: time.Now().Add(time.Minute)}
			for n := range crashLimit {
				suspect.Crashes = append(suspect.Crashes, quarantine.Crash{Upstream: fmt.Sprint(n)})
			}
			fixture.relay.deps.Suspects.Import([]quarantine.Suspect{suspect}, time.Now())
		})
		time.AfterFunc(time.Second, func() { fixture.setModels("m") })
		failure := fixture.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind != outcome.Quarantined || len(fixture.upstream.attempts) != 0 {
			t.Errorf("ended as %v after %d attempts", failure, len(fixture.upstream.attempts))
		}
		if took := time.Since(begun); took != 500*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	})
}

// TestReplicaThatEndsWithoutClosingConnectionsCounts guards against issue 22: a replica that ends without
// closing its connections. The attempt ends when its client disconnects or at its deadline, and the end of the replica
// becomes known only later.
func TestReplicaThatEndsWithoutClosingConnectionsCounts(t *testing.T) {
	for _, clientTimeout := range []time.Duration{300 * time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(step{noResponse: true}, step{noResponse: true}, step{noResponse: true}, ok("yes"))
			for range crashLimit {
				ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
				_ = fixture.serve(ctx, "/once/x")
				cancel()
				for _, id := range []string{"plaina", "plainb"} {
					fixture.relay.deps.Suspects.ReplicaEnded(CrashOf(topology.Incarnation{ID: id}), time.Now())
				}
			}
			if failure := fixture.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.Quarantined {
				t.Errorf("with a client timeout of %v the request ended as %v", clientTimeout, failure)
			}
		})
	}
}

// TestTrialIsOneSending covers a resumable stream that is admitted to try a refused part of its prompt: after its replica has
// crashed it must not be sent to another one.
func TestTrialIsOneSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(lost, ok(events(1, 2)))
		request := fixture.request("/resume/x")
		request.Metadata.Prefix = []exchange.Part{{ID: "dead"}, {ID: "own"}}
		for n := range crashLimit {
			time.Sleep(time.Second)
			shared := quarantine.Causes{Request: uint64(n), Parts: request.SharedParts(1)}
			fixture.relay.deps.Suspects.ConnectionLost(shared, quarantine.Crash{Upstream: fmt.Sprint(n)}, time.Now())
		}
		if _, failure := fixture.relay.Serve(t.Context(), request, &fixture.client); failure == nil || failure.Kind != outcome.Quarantined {
			t.Fatalf("ended as %v before the trial is due", failure)
		}
		time.Sleep(time.Minute)
		request.Arrived = time.Now()
		_, failure := fixture.relay.Serve(t.Context(), request, &fixture.client)
		if failure == nil || len(fixture.upstream.attempts) != 1 {
			t.Errorf("ended as %v after %d attempts", failure, len(fixture.upstream.attempts))
		}
	})
}

// TestReplicaThatCompletesOlderResponsesDidNotCrash guards against a finding in issue 38: three streams that replicas broke off in
// the middle of an event refused a sound part of prompts, although the replicas went on with their other streams.
func TestReplicaThatCompletesOlderResponsesDidNotCrash(t *testing.T) {
	for name, c := range map[string]struct {
		// other returns the other stream of each replica.
		other func() step
		want  bool
	}{
		"the replica goes on with its other stream": {func() step { return parted(io.EOF, part{0, events(1, 1)}, part{4 * time.Second, events(2, 2)}) }, false},
		"all streams of the replica break off":      {func() step { return breaking(events(1, 1), time.Second) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var steps []step
				for range crashLimit {
					steps = append(steps, c.other(), breaking(events(1, 1)+"id: 2\nda", time.Second))
				}
				fixture := newFixture(steps...)
				onlyA(fixture)
				for number := range crashLimit {
					sound, broken := fixture.request("/stream/x"), fixture.request("/stream/x")
					sound.Metadata.Prefix = []exchange.Part{{ID: fmt.Sprint("other", number)}, {ID: fmt.Sprint("s", number)}}
					broken.Metadata.Prefix = []exchange.Part{{ID: "shared"}, {ID: fmt.Sprint("b", number)}}
					done := make(chan struct{})
					go func() {
						defer close(done)
						_, _ = fixture.relay.Serve(t.Context(), sound, &client{})
					}()
					synctest.Wait()
					_, _ = fixture.relay.Serve(t.Context(), broken, &client{})
					<-done
					time.Sleep(2 * time.Second)
				}
				next := fixture.request("/stream/x")
				next.Metadata.Prefix = []exchange.Part{{ID: "shared"}, {ID: "next"}}
				if refused := fixture.relay.deps.Suspects.Admit(causes(next), 0, time.Now()).Refused; refused != c.want {
					t.Errorf("the part is refused: %v", refused)
				}
			})
		})
	}
}

// TestTrialGoesToTheQuietestReplica covers a request with a part that may end its replica: it runs where it takes the fewest others
// with it, even in another data centre.
func TestTrialGoesToTheQuietestReplica(t *testing.T) {
	for trial, want := range map[bool]string{false: "near", true: "other"} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(ok(events(1, 2)))
			var all []topology.Replica
			for id, zone := range map[string]string{"near": "z", "other": "y"} {
				all = append(all, topology.Replica{
					Incarnation: topology.Incarnation{ID: id}, Service: "engine", Zone: zone, Slots: 400,
					Holding: topology.Holding{Models: []topology.LoadedModel{{Model: "m"}}},
				})
			}
			fixture.directory.SetReplicas(all)
			_, _ = fixture.relay.deps.Balancer.Choose([]balance.Candidate{{Incarnation: topology.Incarnation{ID: "near"}, Slots: 400}}, balance.Criteria{}, time.Now())
			request := fixture.request("/stream/x")
			request.Metadata.Prefix = []exchange.Part{{ID: "part"}, {ID: "own"}}
			for n := range crashLimit {
				if trial {
					shared := quarantine.Causes{Request: uint64(n), Parts: request.SharedParts(1)}
					fixture.relay.deps.Suspects.ConnectionLost(shared, quarantine.Crash{Upstream: fmt.Sprint(n)}, time.Now())
					time.Sleep(time.Second)
				}
			}
			time.Sleep(10 * time.Second)
			request.Arrived = time.Now()
			if _, failure := fixture.relay.Serve(t.Context(), request, &fixture.client); failure != nil {
				t.Fatal(failure)
			}
			if got := fixture.upstream.attempts[0].Replica.ID; got != want {
				t.Errorf("trial %t: sent to %s, want %s", trial, got, want)
			}
		})
	}
}
