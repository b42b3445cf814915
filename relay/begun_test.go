package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

// repeated returns the step the given number of times, followed by the others.
func repeated(count int, next func() step, others ...step) []step {
	steps := make([]step, 0, count+len(others))
	for range count {
		steps = append(steps, next())
	}
	return append(steps, others...)
}

// saveRetries fills the retry budget of the engines.
func saveRetries(fixture *fixture) {
	const saved = 100
	fixture.relay.LimitRetries(saved)
	for range 10 * saved {
		fixture.relay.budget("engine").Deposit()
	}
}

// TestBegunStreamIsNotGivenUp guards against issue 33: a stream whose replica broke it off was cut for want of what comes a moment
// later, and its client's connection was closed in the middle of the answer.
func TestBegunStreamIsNotGivenUp(t *testing.T) {
	unsent := func() step { return step{err: exchange.ErrNotSent} }
	full := func() step { return rejected(false) }
	rest := func() step { return ok(events(3, 4)) }
	cases := []struct {
		name string
		next []step
		// trouble is applied before the request arrives.
		trouble func(fixture *fixture)
		// within is the longest time that the stream may take.
		within time.Duration
	}{
		{"the retry budget is empty for a while", []step{rest()}, func(fixture *fixture) {
			budget := fixture.relay.budget("engine")
			for budget.Withdraw() {
			}
			time.AfterFunc(700*time.Millisecond, func() {
				for range 20 {
					budget.Deposit()
				}
			})
		}, 900 * time.Millisecond},
		{"the other replicas are full for a while", repeated(7, full, rest()), saveRetries, time.Second},
		{"no other replica can be reached for a while", repeated(7, unsent, rest()), nil, time.Second},
		{"all replicas want no request for a while", []step{rest()}, func(fixture *fixture) {
			time.AfterFunc(5*time.Millisecond, func() {
				for _, id := range []string{"enginea", "engineb"} {
					fixture.relay.deps.Notices.SetBackoff(topology.Incarnation{ID: id}, time.Now().Add(700*time.Millisecond), time.Now())
				}
			})
		}, 900 * time.Millisecond},
		{"no replica has the model for a while", []step{rest()}, func(fixture *fixture) {
			time.AfterFunc(time.Millisecond, func() { fixture.setModels() })
			time.AfterFunc(700*time.Millisecond, func() { fixture.setModels("m") })
		}, 900 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(append([]step{breaking(events(1, 2), 10*time.Millisecond)}, c.next...)...)
				if c.trouble != nil {
					c.trouble(fixture)
				}
				begun := time.Now()
				failure := fixture.serve(t.Context(), "/resume/x")
				if got := fixture.client.body.String(); failure != nil || got != events(1, 4) {
					t.Errorf("ended as %v after %v and %d attempts with %q", failure, time.Since(begun), len(fixture.upstream.attempts), got)
				}
				if took := time.Since(begun); took > c.within {
					t.Errorf("took %v, more than %v", took, c.within)
				}
			})
		})
	}
}

// TestWaitForARetryIsBounded covers a begun stream for which the retry budget has nothing. It is given up while its client may still
// take it up, or at its deadline, which the failure names then.
func TestWaitForARetryIsBounded(t *testing.T) {
	for timeout, want := range map[time.Duration]struct {
		kind outcome.Kind
		took time.Duration
	}{
		0:                      {outcome.UpstreamLost, minResumeWait},
		600 * time.Millisecond: {outcome.DeadlineRunning, 585 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(breaking(events(1, 2), 0), ok(events(3, 4)))
			emptyBudget(fixture)
			request := fixture.request("/resume/x")
			request.Metadata.ClientTimeout = timeout
			begun := time.Now()
			_, failure := fixture.relay.Serve(t.Context(), request, &fixture.client)
			if took := time.Since(begun); failure == nil || failure.Kind != want.kind || took != want.took {
				t.Errorf("ended as %v after %v, want %v after %v", failure, took, want.kind, want.took)
			}
		})
	}
}

// TestBegunStreamEndsForAReason covers what ends a begun stream that no replica goes on with.
func TestBegunStreamEndsForAReason(t *testing.T) {
	full := func() step { return rejected(false) }
	cases := []struct {
		name    string
		trouble func(fixture *fixture, cancel context.CancelFunc)
		want    outcome.Kind
		took    time.Duration
		// most is the largest number of attempts.
		most int
	}{
		{"no replica takes it in time", nil, outcome.UpstreamLost, 1500 * time.Millisecond, 12},
		{"its client leaves", func(_ *fixture, cancel context.CancelFunc) { time.AfterFunc(500*time.Millisecond, cancel) }, outcome.CallerGone, 500 * time.Millisecond, 10},
		{"the daemon stops", func(fixture *fixture, _ context.CancelFunc) {
			time.AfterFunc(500*time.Millisecond, fixture.relay.CancelRequests)
		}, outcome.DeadlineRunning, 500 * time.Millisecond, 10},
		{"it is refused for its crashes", func(fixture *fixture, _ context.CancelFunc) {
			time.AfterFunc(500*time.Millisecond, func() {
				blamed := causes(fixture.request("/resume/x"))
				for number := range crashLimit + 1 {
					fixture.relay.deps.Suspects.ConnectionLost(blamed, quarantine.Crash{Upstream: "other", BootID: string(rune('a' + number))}, time.Now())
				}
			})
		}, outcome.UpstreamLost, 900 * time.Millisecond, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(append([]step{breaking(events(1, 2), 0)}, repeated(100, full)...)...)
				saveRetries(fixture)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.trouble != nil {
					c.trouble(fixture, cancel)
				}
				begun := time.Now()
				failure := fixture.serve(ctx, "/resume/x")
				if took := time.Since(begun); failure == nil || failure.Kind != c.want || took > c.took {
					t.Errorf("ended as %v after %v, want %v after at most %v", failure, took, c.want, c.took)
				}
				if made := len(fixture.upstream.attempts); made > c.most {
					t.Errorf("%d attempts, want at most %d", made, c.most)
				}
			})
		})
	}
}
