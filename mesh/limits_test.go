package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/quota"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// TestDaemonLearnsAllLimitsOnJoining checks that a daemon that has just started knows the limits of replicas after its
// first greeting, and that a limit that ended is told like others.
func TestDaemonLearnsAllLimitsOnJoining(t *testing.T) {
	seed := newTestDaemon(t, "a", State{}, nil)
	now := time.Now()
	want := map[string]float64{"r": 1.5, "s": 2, "t": 0}
	for id, perSecond := range want {
		seed.limits.Merge(ratelimit.Entry{Incarnation: topology.Incarnation{ID: id, Started: 3}, Limit: ratelimit.Limit{PerSecond: perSecond, Confirmed: now.Add(-time.Hour)}}, now.Add(-time.Hour))
	}
	joining := newTestDaemon(t, "b", State{}, nil, seed.address)
	if joining.Joined() {
		t.Error("the daemon has joined before its first greeting")
	}
	joining.greet(t.Context(), seed.address)
	if !joining.Joined() {
		t.Error("the daemon has not joined")
	}
	for id, perSecond := range want {
		if got, _ := joining.limits.Limit(topology.Incarnation{ID: id, Started: 3}); got != perSecond {
			t.Errorf("the limit of %s is %v, want %v", id, got, perSecond)
		}
	}
}

func TestAskTokens(t *testing.T) {
	grantor := newTestDaemon(t, "a", State{}, nil)
	asker := newTestDaemon(t, "b", State{}, nil)
	replica := topology.Incarnation{ID: "r", Started: 3}
	asks := []ratelimit.Ask{{Replica: replica, Sequence: 7, Answered: 6, Held: 1, Wanted: 2, Unused: 3}, {Replica: replica}}
	limits := []ratelimit.Entry{{Incarnation: replica, Limit: ratelimit.Limit{PerSecond: 2.5, Confirmed: time.Now()}}}
	grantor.grants = []ratelimit.Grant{{Tokens: 2, Next: 200 * time.Millisecond}, {Refused: true}}
	grants, err := asker.AskTokens(t.Context(), grantor.address, asks, limits)
	if err != nil || !slices.Equal(grants, grantor.grants) {
		t.Errorf("grants are %+v, %v", grants, err)
	}
	if grantor.asker != "b" || !slices.Equal(grantor.asks, asks) {
		t.Errorf("the grantor was asked %+v by %s", grantor.asks, grantor.asker)
	}
	if limit, _ := grantor.limits.Limit(replica); limit != 2.5 {
		t.Errorf("the grantor knows the limit %v", limit)
	}
	grantor.grants = grantor.grants[:1]
	if _, err := asker.AskTokens(t.Context(), grantor.address, asks, limits); err == nil {
		t.Error("a response with too few grants is accepted")
	}
}

func TestAskQuotas(t *testing.T) {
	grantor := newTestDaemon(t, "a", State{}, nil)
	asker := newTestDaemon(t, "b", State{}, nil)
	asks := []quota.Ask{{Account: "x", Sequence: 7, Answered: 6, Held: 1, First: 0.25, Need: 2, Ahead: 3, Mean: 4, Returned: 5, Demand: 6, Closing: true}, {Account: "y"}}
	grantor.quotaGrants = []quota.Grant{{Amount: 2.5, Next: 200 * time.Millisecond, Available: time.Second}, {Refused: true}}
	grants, err := asker.AskQuotas(t.Context(), grantor.address, asks)
	if err != nil || !slices.Equal(grants, grantor.quotaGrants) {
		t.Errorf("grants are %+v, %v", grants, err)
	}
	if grantor.asker != "b" || !slices.Equal(grantor.quotaAsks, asks) {
		t.Errorf("the grantor was asked %+v by %s", grantor.quotaAsks, grantor.asker)
	}
	grantor.quotaGrants = grantor.quotaGrants[:1]
	if _, err := asker.AskQuotas(t.Context(), grantor.address, asks); err == nil {
		t.Error("a response with too few grants is accepted")
	}
}

func TestAddressOf(t *testing.T) {
	seed := newTestDaemon(t, "a", State{}, nil)
	joining := newTestDaemon(t, "b", State{}, nil, seed.address)
	if _, seen := joining.AddressOf("a"); seen {
		t.Error("a daemon is seen before its first heartbeat")
	}
	joining.greet(t.Context(), seed.address)
	if address, seen := joining.AddressOf("a"); !seen || address != seed.address {
		t.Errorf("the address is %q", address)
	}
}
