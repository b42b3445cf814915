package front

import (
	"testing"

	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

// TestNewsOfLeavingReplicasEnd covers two daemons that tell each other of a replica that leaves: it gets nothing new from
// either, and both forget it some time after its row is gone, though each still hears of it from the other.
func TestNewsOfLeavingReplicasEnd(t *testing.T) {
	run := topology.Incarnation{ID: "r", Started: 1}
	daemons := []*Daemon{New(Settings{Name: "a"}, "", nil), New(Settings{Name: "b"}, "", nil)}
	entry := roster.Entry{Version: 1, Replica: topology.Replica{Incarnation: run, Service: "s"}}
	for _, daemon := range daemons {
		daemon.roster.Replace([]roster.Entry{entry}, 1, daemon.clock.Now())
	}
	exchange := func() {
		daemons[1].hearLeaving(daemons[0].leaving())
		daemons[0].hearLeaving(daemons[1].leaving())
	}
	notices{daemons[0]}.Hear(run, notice.Notice{Leaving: true})
	exchange()
	for _, daemon := range daemons {
		if usable := daemon.usable(daemon.roster.Entries()); len(usable) != 0 || len(daemon.roster.Usable()) != 1 {
			t.Errorf("%s uses %v", daemon.settings.Name, usable)
		}
		daemon.roster.Drop("r", 2, daemon.clock.Now())
	}
	for _, daemon := range daemons {
		now := daemon.clock.Now().Add(2 * noticeLife)
		daemon.notices.Forget(nil, now.Add(-noticeLife), now)
		exchange()
	}
	for _, daemon := range daemons {
		if left := daemon.leaving(); len(left) != 0 {
			t.Errorf("%s still tells of %v", daemon.settings.Name, left)
		}
	}
}
