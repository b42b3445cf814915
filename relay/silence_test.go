package relay

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
)

// TestSilenceOfAllReplicasEndsNoStream guards against issue 47: sound replicas said nothing for a second or so, and the daemon
// ended begun streams for others that were as silent, which cut them or brought them to their deadline.
func TestSilenceOfAllReplicasEndsNoStream(t *testing.T) {
	const silence = 1600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		pausing := func() step { return parted(io.EOF, part{0, events(1, 2)}, part{silence, events(3, 4)}) }
		fixture := newFixture(pausing(), pausing(), step{noResponse: true}, step{noResponse: true})
		clients := make([]client, 2)
		failures := make([]*outcome.Error, 2)
		var streams sync.WaitGroup
		for index := range clients {
			streams.Go(func() {
				_, failures[index] = fixture.relay.Serve(t.Context(), fixture.request("/resume/x"), &clients[index])
			})
		}
		streams.Wait()
		for index := range clients {
			if got := clients[index].body.String(); failures[index] != nil || got != events(1, 4) {
				t.Errorf("stream %d ended as %v with %q", index, failures[index], got)
			}
		}
		if made := len(fixture.upstream.attempts); made != 2 {
			t.Errorf("%d attempts, want 2", made)
		}
	})
}

// TestRefusedConnectionsEndNoSilentStream guards against issue 47: two other replicas refused connections while a stream was silent,
// and its attempt was ended for another daemon although its own replica was reached and went on.
func TestRefusedConnectionsEndNoSilentStream(t *testing.T) {
	const silence = 1600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		steps := []step{parted(io.EOF, part{0, events(1, 2)}, part{silence, events(3, 4)})}
		for range 20 {
			steps = append(steps, step{err: exchange.ErrNotSent})
		}
		fixture := newFixture(steps...)
		fixture.setReleases(map[string]string{"a": "", "b": "", "c": ""})
		saveRetries(fixture)
		lender := &lenders{}
		fixture.relay.deps.Lender = lender
		failure := fixture.serve(t.Context(), "/resume/x")
		if got := fixture.client.body.String(); failure != nil || got != events(1, 4) {
			t.Errorf("ended as %v with %q", failure, got)
		}
		if asked := len(lender.allowances); asked > 0 {
			t.Errorf("%d attempts through other daemons", asked)
		}
	})
}
