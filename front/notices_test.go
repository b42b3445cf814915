package front

import (
	"testing"

	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

// TestDaemonsForgetRemovedLeavingReplicas covers two daemons that announce a leaving replica to each other.
// Neither sends it new requests, and both forget it some time after its row is deleted, although each still
// receives it from the other.
func TestDaemonsForgetRemovedLeavingReplicas(t *testing.T) {
	incarnation := topology.Incarnation{ID: "r", Started: 1}
	daemons := []*Daemon{New(Settings{Name: "a"}, "", nil), New(Settings{Name: "b"}, "", nil)}
	entry := roster.Entry{Version: 1, Replica: topology.Replica{Incarnation: incarnation, Service: "s"}}
	for _, daemon := range daemons {
		daemon.roster.Replace([]roster.Entry{entry}, 1, daemon.clock.Now())
	}
	exchange := func() {
		daemons[1].receiveLeaving(daemons[0].leavingToShare())
		daemons[0].receiveLeaving(daemons[1].leavingToShare())
	}
	replicaListener{daemons[0]}.HandleNotice(incarnation, notice.Notice{Leaving: true})
	exchange()
	for _, daemon := range daemons {
		if usable := daemon.usable(daemon.roster.Entries()); len(usable) != 0 || len(daemon.roster.Usable()) != 1 {
			t.Errorf("daemon %s sends requests to %v", daemon.settings.Name, usable)
		}
		daemon.roster.Remove("r", 2, daemon.clock.Now())
	}
	for _, daemon := range daemons {
		now := daemon.clock.Now().Add(2 * noticeRetention)
		daemon.notices.Prune(nil, now.Add(-noticeRetention), now)
		exchange()
	}
	for _, daemon := range daemons {
		if remaining := daemon.leavingToShare(); len(remaining) != 0 {
			t.Errorf("daemon %s still announces %v", daemon.settings.Name, remaining)
		}
	}
}
