package relay

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// provers is a Prover of replicas that were idle until they are probed.
type provers struct {
	// answerTimes holds how long the replicas take to answer a probe, by identifier. Those that are missing are silent.
	answerTimes map[string]time.Duration

	mutex sync.Mutex
	// probed holds when each replica was probed last.
	probed map[string]time.Time
}

func (provers *provers) Responded(_ context.Context, replica topology.Incarnation, since time.Time) bool {
	provers.mutex.Lock()
	defer provers.mutex.Unlock()
	delay, answers := provers.answerTimes[replica.ID]
	if begun, ok := provers.probed[replica.ID]; ok && answers {
		responded := begun.Add(delay)
		return !responded.After(time.Now()) && !responded.Before(since)
	}
	provers.probed[replica.ID] = time.Now()
	return false
}

// TestIdleReplicaIsTrustedOnceItResponds guards against issue 47: a silent stream was ended for a replica without attempts of this
// daemon, which had not rejected the request since it was as silent, and the stream ended by its deadline.
func TestIdleReplicaIsTrustedOnceItResponds(t *testing.T) {
	const silence = 1600 * time.Millisecond
	cases := []struct {
		name string
		// idle lists the replicas beside that of the stream, and answerTimes how long those that are not silent take to answer a probe.
		idle        []string
		answerTimes map[string]time.Duration
		attempts    int
		took        time.Duration
	}{
		{"as silent as the first", []string{"b"}, nil, 1, silence},
		{"several, all silent", []string{"b", "c", "d", "e", "f", "g"}, nil, 1, silence},
		{"responds at once", []string{"b"}, map[string]time.Duration{"b": 0}, 2, 1025 * time.Millisecond},
		{"responds later", []string{"b"}, map[string]time.Duration{"b": 300 * time.Millisecond}, 2, 1375 * time.Millisecond},
		{"one of two responds", []string{"b", "c"}, map[string]time.Duration{"c": 10 * time.Millisecond}, 2, 1025 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				next := ok(events(3, 4))
				if c.attempts == 1 {
					next = step{noResponse: true}
				}
				fixture := newFixture(parted(io.EOF, part{0, events(1, 2)}, part{silence, events(3, 4)}), next)
				saveRetries(fixture)
				fixture.relay.deps.Prover = &provers{answerTimes: c.answerTimes, probed: map[string]time.Time{}}
				begun := time.Now()
				var failure *outcome.Error
				var stream sync.WaitGroup
				fixture.setReleases(map[string]string{"a": ""})
				stream.Go(func() { failure = fixture.serve(t.Context(), "/resume/x") })
				synctest.Wait()
				releases := map[string]string{"a": ""}
				for _, id := range c.idle {
					releases[id] = ""
				}
				fixture.setReleases(releases)
				stream.Wait()
				took := time.Since(begun)
				if got := fixture.client.body.String(); failure != nil || got != events(1, 4) || took != c.took {
					t.Errorf("ended as %v after %v with %q", failure, took, got)
				}
				if made := len(fixture.upstream.attempts); made != c.attempts {
					t.Errorf("%d attempts, want %d", made, c.attempts)
				}
				fixture.checkNothingInFlight(t)
			})
		})
	}
}
