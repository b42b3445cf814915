package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// TestChoicesStayAtOneSpeed guards against observations that change the choices among replicas of one speed.
func TestChoicesStayAtOneSpeed(t *testing.T) {
	plain, observing := newBalancer(), newBalancer()
	random := rand.New(rand.NewPCG(3, 4))
	now := start
	for range 500 {
		now = now.Add(50 * time.Millisecond)
		criteria := Criteria{Service: "s", Zone: "near", Tokens: random.IntN(2000), GapTarget: 300 * time.Millisecond, OutputTokens: random.IntN(900)}
		wait := time.Duration(100+random.IntN(100)) * time.Millisecond
		gap := time.Duration(40+random.IntN(20)) * time.Millisecond
		var ids [2]string
		for index, balancer := range []*Balancer{plain, observing} {
			chosen, _ := balancer.Choose(replicas(4), criteria, now)
			ids[index] = chosen.ID
			balancer.EndWait(chosen, criteria, wait, true)
			balancer.ObserveLatency(chosen.Incarnation, wait)
			balancer.Done(chosen.Incarnation, false, now)
			if balancer == observing {
				balancer.ObserveGap(chosen.Incarnation, gap)
				balancer.TakeObservations(now)
			}
		}
		if ids[0] != ids[1] {
			t.Fatalf("chose %s in place of %s", ids[1], ids[0])
		}
	}
}

// TestWindowIsSharedWithoutAgreement guards against a flood by daemons that learn at the same time that a replica starts, and against
// requests that may run once being sent there as readily as others.
func TestWindowIsSharedWithoutAgreement(t *testing.T) {
	candidates := replicas(4)
	counts := map[string]int{}
	for daemon := range 400 {
		for name, criteria := range map[string]Criteria{"urgent": {}, "unhurried": {Unhurried: true}, "once": {AtMostOnce: true}} {
			balancer := New(rand.New(rand.NewPCG(uint64(daemon), 5)))
			for _, other := range candidates[1:] {
				balancer.load(other.Incarnation).remote.Running = 8
			}
			balancer.SetPaces(map[topology.Incarnation]pace.Value{candidates[0].Incarnation: {Window: 4, Cause: pace.New}}, start)
			criteria.Zone, criteria.DaemonIndex = "near", daemon
			if chosen, _ := balancer.Choose(candidates, criteria, start); chosen.Incarnation == candidates[0].Incarnation {
				counts[name]++
			}
		}
	}
	// The window is half of the load of the others, so that the replica gets half of its fourth of the requests.
	if urgent := counts["urgent"]; urgent < 30 || urgent > 70 || counts["once"] >= urgent || counts["unhurried"] <= urgent {
		t.Errorf("of 400 requests each, the replica got %v", counts)
	}
}

// TestOldPacesAreNotUsed guards against decisions by a holder that is gone.
func TestOldPacesAreNotUsed(t *testing.T) {
	balancer := newBalancer()
	replica := replicas(1)[0].Incarnation
	balancer.SetPaces(map[topology.Incarnation]pace.Value{replica: {Speed: 1.6, Window: 4, Cause: pace.New}}, start)
	for age, known := range map[time.Duration]bool{0: true, 4 * time.Second: true, 5 * time.Second: false} {
		balancer.paces.refreshed = time.Time{}
		_, _ = balancer.Choose(replicas(1), Criteria{}, start.Add(age))
		if got := balancer.Paces()[replica]; got.IsZero() == known {
			t.Errorf("after %v the pace is %+v", age, got)
		}
	}
}
