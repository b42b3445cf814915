package relay

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/brittle"
	"github.com/bronzestall/bronzestall/topology"
)

// TestRejectedRequestsLeaveBrittleReplicasAlone covers a replica that falls over for rejections: after one it gets nothing for a
// while, and requests go to others or are told when to come back.
func TestRejectedRequestsLeaveBrittleReplicasAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(rejected(false), ok("1"), ok("2"), ok("3"))
		guard := brittle.New(rand.New(rand.NewPCG(1, 2)))
		for _, id := range []string{"plaina", "plainb"} {
			guard.Observe(topology.Incarnation{ID: id}, 2, time.Now())
		}
		fixture.relay.deps.Brittle = guard
		for range 3 {
			fixture.client = client{}
			if failure := fixture.serve(t.Context(), "/once/x"); failure != nil {
				t.Errorf("a request failed: %v", failure)
			}
		}
		full := fixture.upstream.attempts[0].Replica
		for _, attempt := range fixture.upstream.attempts[1:] {
			if attempt.Replica == full {
				t.Errorf("%s got a request right after a rejection", full.ID)
			}
		}
		fixture.client = client{}
		guard.Rejected(topology.Incarnation{ID: "plaina"}, time.Now())
		guard.Rejected(topology.Incarnation{ID: "plainb"}, time.Now())
		if failure := fixture.serve(t.Context(), "/once/x"); failure == nil || failure.RetryAfter == 0 {
			t.Errorf("a request without room ended as %v", failure)
		}
	})
}

// TestWaitingStreamsLeaveBrittleReplicasAlone covers a begun stream that waits for a full replica which falls over for more than two
// rejections in a second: only its first attempt there may go without regard to that.
func TestWaitingStreamsLeaveBrittleReplicasAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bears = 2
		fixture := newFixture(append([]step{breaking(events(1, 2), 0)}, repeated(100, func() step { return rejected(false) })...)...)
		saveRetries(fixture)
		guard := brittle.New(rand.New(rand.NewPCG(1, 2)))
		for _, id := range []string{"enginea", "engineb"} {
			guard.Observe(topology.Incarnation{ID: id}, bears, time.Now())
		}
		fixture.relay.deps.Brittle = guard
		_ = fixture.serve(t.Context(), "/resume/x")
		perSecond := map[string][]time.Time{}
		for index, attempt := range fixture.upstream.attempts[2:] {
			perSecond[attempt.Replica.ID] = append(perSecond[attempt.Replica.ID], fixture.upstream.sent[index+2])
		}
		for id, sent := range perSecond {
			for index := bears; index < len(sent); index++ {
				if span := sent[index].Sub(sent[index-bears]); span < time.Second {
					t.Errorf("%s rejected %d requests within %v", id, bears+1, span)
				}
			}
		}
	})
}
