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

// TestQuietDaemonFindsThatItIsNotCutOff guards against a daemon with few requests that failed to reach two replicas in a row, which
// were dead, and tried only these again: it counted as cut off, and passed all its requests on, until they came back.
func TestQuietDaemonFindsThatItIsNotCutOff(t *testing.T) {
	sound := httptest.NewServer(http.NotFoundHandler())
	defer sound.Close()
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var entries []roster.Entry
	for id, address := range map[string]string{"dead": "127.0.0.1:2", "gone": "127.0.0.1:3", "sound": sound.Listener.Addr().String()} {
		replica := topology.Replica{Incarnation: topology.Incarnation{ID: id}, Service: "s", Address: address}
		entries = append(entries, roster.Entry{Replica: replica, Version: 1})
		if id != "sound" {
			if err := daemon.upstream.Probe(ctx, replica.Incarnation, address, ""); err == nil {
				t.Fatal("a dead replica responds")
			}
		}
	}
	daemon.roster.Replace(entries, 1, daemon.clock.Now())
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
