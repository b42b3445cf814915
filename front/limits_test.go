package front

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// TestDaemonIsNotReadyBeforeItKnowsLimits guards against a daemon that has just started and sends to replicas without
// knowing the limits that others know. It does not wait for others for ever.
func TestDaemonIsNotReadyBeforeItKnowsLimits(t *testing.T) {
	daemon := New(Settings{Name: "a", Seeds: []string{"127.0.0.1:1"}}, "", nil)
	if daemon.knowsLimits() {
		t.Error("the daemon knows the limits before another one told it")
	}
	daemon.started = daemon.started.Add(-joinTimeout)
	if !daemon.knowsLimits() {
		t.Error("the daemon waits for others for too long")
	}
}

// TestDaemonGrantsTokensOnlyForLimitsItDivides covers the answers of a daemon that is alone: it divides every limit once it
// has settled, and refuses questions about replicas without a limit.
func TestDaemonGrantsTokensOnlyForLimitsItDivides(t *testing.T) {
	daemon := New(Settings{Name: "a"}, "", nil)
	replica := topology.Incarnation{ID: "r", Started: 1}
	asks := []ratelimit.Ask{{Replica: replica, Wanted: 1}}
	if grants := daemon.grantTokens("b", asks); !grants[0].Refused {
		t.Errorf("without a limit the grant is %+v", grants[0])
	}
	daemon.receiveLimits([]ratelimit.Entry{{Incarnation: replica, Limit: ratelimit.Limit{PerSecond: 2, Confirmed: daemon.clock.Now()}}})
	if grants := daemon.grantTokens("b", asks); !grants[0].Refused {
		t.Errorf("before the daemon has settled the grant is %+v", grants[0])
	}
	daemon.membership = ratelimit.NewMembership("a", daemon.clock.Now().Add(-time.Minute))
	if grants := daemon.grantTokens("b", asks); grants[0].Refused {
		t.Errorf("the grant is %+v", grants[0])
	}
}
