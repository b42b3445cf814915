package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// TestReplicasThatLeaveGetNothing covers all ways on which a request still gets to a replica that said that it leaves,
// whatever its row says: a first sending, a retry, a stream that goes on.
func TestReplicasThatLeaveGetNothing(t *testing.T) {
	cases := []struct {
		name, path string
		steps      []step
		want       []string
	}{
		{"first sending", "/once/x", []step{ok("a")}, []string{"plainb"}},
		{"retry", "/again/x", []step{lost, ok("a")}, []string{"plainb", "plainb"}},
		{"stream that goes on", "/resume/x", []step{answered(200, events(1, 2), lost.err), ok(events(3, 4))}, []string{"engineb", "engineb"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(c.steps...)
				for _, id := range []string{"plaina", "enginea"} {
					site.relay.deps.Notices.MarkLeaving(topology.Incarnation{ID: id}, time.Now())
				}
				site.show("m")
				failure := site.serve(t.Context(), c.path)
				for index, attempt := range site.upstream.attempts {
					if index >= len(c.want) || attempt.Replica.ID != c.want[index] {
						t.Errorf("sending %d went to %s, ended as %v", index, attempt.Replica.ID, failure)
					}
				}
				if len(site.upstream.attempts) != len(c.want) {
					t.Errorf("%d sendings, ended as %v", len(site.upstream.attempts), failure)
				}
			})
		})
	}
}

// TestAllReplicasRest covers services whose replicas all want no request for a while: what can wait for the first waits and
// is served then, the rest is refused at once and told when to come back.
func TestAllReplicasRest(t *testing.T) {
	cases := []struct {
		name, path    string
		first, second time.Duration
		want          outcome.Kind
		took          time.Duration
	}{
		{"one takes requests", "/once/x", 0, time.Minute, 0, 0},
		{"shorter than the wait for room", "/once/x", 50 * time.Millisecond, time.Minute, 0, 50 * time.Millisecond},
		{"longer", "/once/x", time.Second, 1500 * time.Millisecond, outcome.QueueFull, 0},
		{"engines, shorter", "/stream/x", 700 * time.Millisecond, time.Minute, 0, 700 * time.Millisecond},
		{"engines, longer", "/stream/x", 2 * time.Second, time.Minute, outcome.QueueFull, 0},
		{"beyond the deadline", "/once/x", time.Minute, time.Hour, outcome.DeadlineUnmeetable, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(ok(events(1, 1)))
				now := time.Now()
				for _, service := range []string{"plain", "engine"} {
					site.relay.deps.Notices.SetBackoff(topology.Incarnation{ID: service + "a"}, now.Add(c.first), now)
					site.relay.deps.Notices.SetBackoff(topology.Incarnation{ID: service + "b"}, now.Add(c.second), now)
				}
				failure := site.serve(t.Context(), c.path)
				if took := time.Since(now); took != c.took {
					t.Errorf("answered after %v", took)
				}
				if c.want == 0 {
					if failure != nil || len(site.upstream.attempts) != 1 {
						t.Errorf("ended as %v after %d sendings", failure, len(site.upstream.attempts))
					}
					return
				}
				if failure == nil || failure.Kind != c.want || len(site.upstream.attempts) != 0 {
					t.Fatalf("ended as %v after %d sendings", failure, len(site.upstream.attempts))
				}
				if failure.RetryAfter < c.first || failure.RetryAfter > c.first+retryAfterFull {
					t.Errorf("to come back after %v", failure.RetryAfter)
				}
			})
		})
	}
}
