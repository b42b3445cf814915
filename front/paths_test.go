package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

// takeReplicas makes the daemon know replicas of a service at the addresses, by identifier, and returns them.
func takeReplicas(daemon *Daemon, addresses map[string]string) map[string]topology.Replica {
	replicas := map[string]topology.Replica{}
	var entries []roster.Entry
	for id, address := range addresses {
		replicas[id] = topology.Replica{Incarnation: topology.Incarnation{ID: id}, Service: "s", Address: address}
		entries = append(entries, roster.Entry{Replica: replicas[id], Version: 1})
	}
	daemon.roster.Replace(entries, 1, daemon.clock.Now())
	return replicas
}

// TestQuietDaemonFindsThatItIsNotCutOff guards against a daemon with few requests that failed to reach two replicas in a row, which
// were dead, and tried only these again: it counted as cut off, and passed all its requests on, until they came back.
func TestQuietDaemonFindsThatItIsNotCutOff(t *testing.T) {
	sound := httptest.NewServer(http.NotFoundHandler())
	defer sound.Close()
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	replicas := takeReplicas(daemon, map[string]string{"dead": "127.0.0.1:2", "gone": "127.0.0.1:3", "sound": sound.Listener.Addr().String()})
	for _, id := range []string{"dead", "gone"} {
		if err := daemon.upstream.Probe(ctx, replicas[id].Incarnation, replicas[id].Address, ""); err == nil {
			t.Fatal("a dead replica responds")
		}
	}
	if !daemon.lender.CutOff() {
		t.Fatal("a daemon that reaches none of two replicas is not cut off")
	}
	go func() { _ = daemon.probePaths(ctx) }()
	for daemon.lender.CutOff() && ctx.Err() == nil {
		daemon.sleep(ctx, pathInterval/10)
	}
	if ctx.Err() != nil {
		t.Error("the daemon counts as cut off although it reaches a replica")
	}
}
