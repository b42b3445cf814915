package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// TestLeavingReplicasGetNoRequests covers every way in which a request could still reach a replica that announced
// that it leaves, whatever its row states: a first attempt, a retry and a resumed stream.
func TestLeavingReplicasGetNoRequests(t *testing.T) {
	cases := []struct {
		name, path string
		steps      []step
		want       []string
	}{
		{"first attempt", "/once/x", []step{ok("a")}, []string{"plainb"}},
		{"retry", "/again/x", []step{lost, ok("a")}, []string{"plainb", "plainb"}},
		{"resumed stream", "/resume/x", []step{answered(200, events(1, 2), lost.err), ok(events(3, 4))}, []string{"engineb", "engineb"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(c.steps...)
				for _, id := range []string{"plaina", "enginea"} {
					fixture.relay.deps.Notices.MarkLeaving(topology.Incarnation{ID: id}, time.Now())
				}
				fixture.setModels("m")
				failure := fixture.serve(t.Context(), c.path)
				for index, attempt := range fixture.upstream.attempts {
					if index >= len(c.want) || attempt.Replica.ID != c.want[index] {
						t.Errorf("attempt %d went to %s, ended as %v", index, attempt.Replica.ID, failure)
					}
				}
				if len(fixture.upstream.attempts) != len(c.want) {
					t.Errorf("%d attempts, ended as %v", len(fixture.upstream.attempts), failure)
				}
			})
		})
	}
}

// TestAllReplicasInBackoff covers services whose replicas are all in backoff: a request waits if a backoff ends soon
// enough, otherwise it is refused at once with a Retry-After value.
func TestAllReplicasInBackoff(t *testing.T) {
	cases := []struct {
		name, path    string
		first, second time.Duration
		want          outcome.Kind
		took          time.Duration
	}{
		{"one accepts requests", "/once/x", 0, time.Minute, 0, 0},
		{"shorter than the wait for capacity", "/once/x", 50 * time.Millisecond, time.Minute, 0, 50 * time.Millisecond},
		{"longer", "/once/x", time.Second, 1500 * time.Millisecond, outcome.QueueFull, 0},
		{"engines, shorter", "/stream/x", 700 * time.Millisecond, time.Minute, 0, 700 * time.Millisecond},
		{"engines, longer", "/stream/x", 2 * time.Second, time.Minute, outcome.QueueFull, 0},
		{"beyond the deadline", "/once/x", time.Minute, time.Hour, outcome.DeadlineUnmeetable, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(ok(events(1, 1)))
				now := time.Now()
				for _, service := range []string{"plain", "engine"} {
					fixture.relay.deps.Notices.SetBackoff(topology.Incarnation{ID: service + "a"}, now.Add(c.first), now)
					fixture.relay.deps.Notices.SetBackoff(topology.Incarnation{ID: service + "b"}, now.Add(c.second), now)
				}
				failure := fixture.serve(t.Context(), c.path)
				if took := time.Since(now); took != c.took {
					t.Errorf("answered after %v", took)
				}
				if c.want == 0 {
					if failure != nil || len(fixture.upstream.attempts) != 1 {
						t.Errorf("ended as %v after %d attempts", failure, len(fixture.upstream.attempts))
					}
					return
				}
				if failure == nil || failure.Kind != c.want || len(fixture.upstream.attempts) != 0 {
					t.Fatalf("ended as %v after %d attempts", failure, len(fixture.upstream.attempts))
				}
				if failure.RetryAfter < c.first || failure.RetryAfter > c.first+retryAfterOverload {
					t.Errorf("Retry-After is %v", failure.RetryAfter)
				}
			})
		})
	}
}
