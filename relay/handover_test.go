package relay

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// longestOverlap is the longest time for which the users' platform lets two replicas run one request.
const longestOverlap = 400 * time.Millisecond

// late returns a response of the status whose head comes after the time.
func late(after time.Duration, next step) step {
	next.headAfter = after
	return next
}

// emptyBudget takes all retries.
func emptyBudget(fixture *fixture) {
	for _, service := range []string{"engine", "plain"} {
		for fixture.relay.budget(service).Withdraw() {
		}
	}
}

// onlyA makes the replicas named b leave.
func onlyA(fixture *fixture) {
	for _, id := range []string{"engineb", "plainb"} {
		fixture.relay.deps.Notices.MarkLeaving(topology.Incarnation{ID: id}, time.Now())
	}
}

// TestStalledAttemptIsLeftOnlyForASuccessor guards against issue 33: the daemon ended an attempt that was slow and alive before it
// knew whether another replica would go on, and the stream was cut.
func TestStalledAttemptIsLeftOnlyForASuccessor(t *testing.T) {
	const slow = 3 * time.Second
	// pausing streams two events, and the rest after a pause of 12 gap targets.
	pausing := func(end error) step { return parted(end, part{0, events(1, 2)}, part{slow, events(3, 4)}) }
	cases := []struct {
		name, path string
		trouble    func(fixture *fixture)
		steps      []step
		// want is the body, and attempts the number of attempts.
		want     string
		attempts int
	}{
		{"the budget is empty", "/resume/x", emptyBudget, []step{pausing(io.EOF)}, events(1, 4), 1},
		{"no other replica", "/resume/x", onlyA, []step{pausing(io.EOF)}, events(1, 4), -1},
		{"the other replica is full", "/resume/x", nil, []step{pausing(io.EOF), rejected(false), rejected(false), rejected(false)}, events(1, 4), -1},
		{"the other replica is slower", "/resume/x", nil, []step{parted(io.EOF, part{0, events(1, 2)}, part{1100 * time.Millisecond, events(3, 4)}), late(time.Second, ok(events(3, 4)))}, events(1, 4), 2},
		{"the other replica goes on", "/resume/x", nil, []step{pausing(io.EOF), late(50*time.Millisecond, ok(events(3, 4)))}, events(1, 4), 2},
		{"the other replica accepts late", "/resume/x", nil, []step{pausing(io.EOF), late(time.Second, ok(events(3, 4)))}, events(1, 4), 2},
		{"the first replica breaks off meanwhile", "/resume/x", nil, []step{parted(errBroken, part{0, events(1, 2)}, part{1050 * time.Millisecond, ""}), late(time.Second, ok(events(3, 4)))}, events(1, 4), 2},
		{"nothing has come and the other replica is full", "/resume/x", nil, []step{late(1500*time.Millisecond, ok(events(1, 4))), rejected(false), rejected(false), rejected(false)}, events(1, 4), -1},
		{"nothing has come and the budget is empty", "/resume/x", emptyBudget, []step{late(1500*time.Millisecond, ok(events(1, 4)))}, events(1, 4), 1},
		{"nothing has come and the other replica responds", "/resume/x", nil, []step{late(3*time.Second, ok(events(1, 4))), ok(events(1, 4))}, events(1, 4), 2},
		{"a call and the other replica is full", "/again/x", nil, []step{late(400*time.Millisecond, ok("a")), rejected(false), rejected(false), rejected(false)}, "a", -1},
		{"a call and the other replica responds", "/again/x", nil, []step{late(time.Second, ok("a")), ok("b")}, "b", 2},
		{"a call that is answered just before", "/again/x", nil, []step{late(310*time.Millisecond, ok("a")), late(100*time.Millisecond, ok("b"))}, "a", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(c.steps...)
				if c.trouble != nil {
					c.trouble(fixture)
				}
				failure := fixture.serve(t.Context(), c.path)
				synctest.Wait()
				made := len(fixture.upstream.attempts)
				if got := fixture.client.body.String(); failure != nil || got != c.want {
					t.Errorf("ended as %v after %d attempts with %q", failure, made, got)
				}
				if c.attempts >= 0 && made != c.attempts {
					t.Errorf("%d attempts, want %d", made, c.attempts)
				}
				fixture.checkOverlap(t)
				fixture.checkNothingInFlight(t)
			})
		})
	}
}

// checkOverlap checks that of two attempts one was cancelled before the other had run for too long beside it.
func (fixture *fixture) checkOverlap(t *testing.T) {
	upstream := fixture.upstream
	for index := 1; index < len(upstream.sent); index++ {
		first := upstream.cancelled[index-1]
		second := upstream.cancelled[index]
		ends := slices.MinFunc([]time.Time{first, second}, time.Time.Compare)
		if overlap := ends.Sub(upstream.sent[index]); overlap > longestOverlap {
			t.Errorf("attempts %d and %d ran beside each other for %v", index-1, index, overlap)
		}
	}
}

// checkNothingInFlight checks that no replica counts as busy once all requests have ended.
func (fixture *fixture) checkNothingInFlight(t *testing.T) {
	_, running := fixture.demand.Snapshot(time.Now())
	for replica, inFlight := range running {
		if inFlight.Running != 0 {
			t.Errorf("%v requests count as in flight at %v", inFlight, replica)
		}
	}
}

// TestSilentReplicaIsTriedAgain covers a stream whose only replica can't be reached any more: another connection is tried
// while the stream stays open.
func TestSilentReplicaIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := parted(io.EOF, part{0, events(1, 2)}, part{time.Hour, ""})
		fixture := newFixture(silent, step{err: exchange.ErrNotSent}, ok(events(3, 4)))
		onlyA(fixture)
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/resume/x")
		if got := fixture.client.body.String(); failure != nil || got != events(1, 4) || time.Since(begun) > 3*time.Second {
			t.Errorf("ended as %v after %v with %q", failure, time.Since(begun), got)
		}
	})
}

// TestClientThatLeavesEndsBothAttempts covers a client that leaves while a successor is sought.
func TestClientThatLeavesEndsBothAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := parted(io.EOF, part{0, events(1, 2)}, part{time.Hour, ""})
		fixture := newFixture(silent, late(time.Hour, ok("")))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(1100*time.Millisecond, cancel)
		defer cancel()
		failure := fixture.serve(ctx, "/resume/x")
		synctest.Wait()
		if failure == nil || failure.Kind != outcome.CallerGone {
			t.Errorf("ended as %v", failure)
		}
		for index, cancelled := range fixture.upstream.cancelled {
			if cancelled.IsZero() {
				t.Errorf("attempt %d was not cancelled", index)
			}
		}
		fixture.checkNothingInFlight(t)
	})
}
