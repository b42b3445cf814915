package front

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// TestAccountsAreChargedByTheDaemonAlone covers the path of a charge through a daemon that divides the quota itself: the burst is
// admitted, what is beyond it is refused with the time until there is enough, and a refund is used again.
func TestAccountsAreChargedByTheDaemonAlone(t *testing.T) {
	daemon := New(Settings{Name: "a"}, "", nil)
	daemon.started = daemon.started.Add(-time.Minute)
	account := topology.Account{Name: "x", Quota: topology.Quota{PerSecond: 0.5, Burst: 4}}
	daemon.relay.Configure((&topology.Configuration{Version: 1, Accounts: []topology.Account{account}}).Index())
	now := daemon.clock.Now().Add(-20 * time.Second)
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		daemon.quotaAllocator.Observe([]topology.Account{account}, daemon.quotaMembers(now), now)
	}
	go func() { _ = daemon.requestQuotas(t.Context()) }()
	quotas := accountQuotas{daemon}
	refund, _ := quotas.Charge(t.Context(), &account, 4)
	if refund == nil {
		t.Fatal("the burst is refused")
	}
	if again, retryAfter := quotas.Charge(t.Context(), &account, 1); again != nil || retryAfter <= 0 {
		t.Errorf("beyond the burst a request is admitted, or may return after %v", retryAfter)
	}
	refund()
	if held := daemon.quotas.States(daemon.clock.Now())[0]; held.Used != 0 || held.Refused != 1 {
		t.Errorf("after the refund the state is %+v", held)
	}
}
