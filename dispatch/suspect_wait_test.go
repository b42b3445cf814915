package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
)

// TestSuspectsThatCannotRunInTimeAreRefusedAtOnce crashes both upstreams while more requests are in flight
// than can run one at a time before their deadlines.
func TestSuspectsThatCannotRunInTimeAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1", "u2")
		for _, engine := range cluster.engines {
			engine.slots, engine.pieces, engine.gap = 16, 20, 100*time.Millisecond
		}
		dispatcher := cluster.dispatcher(Settings{})
		dispatcher.deps.Suspects = &fakePeers{arbiter: quarantine.NewArbiter()}
		go dispatcher.Run(t.Context())
		if err := dispatcher.Do(t.Context(), chatRequest("measured"), &fakeSink{}); err != nil {
			t.Fatal(err)
		}
		var all sync.WaitGroup
		var mutex sync.Mutex
		var crash time.Time
		answered, refused := 0, 0
		for n := range 24 {
			all.Go(func() {
				err := dispatcher.Do(t.Context(), chatRequest(fmt.Sprint("chat", n)), &fakeSink{})
				mutex.Lock()
				defer mutex.Unlock()
				if err == nil {
					answered++
					return
				}
				refused++
				if took := time.Since(crash); took > 2*time.Second {
					t.Errorf("a refusal came %s after the crash: %v", took, err)
				}
				if after := outcome.From(err).RetryAfter; after < time.Second {
					t.Errorf("a refusal has the Retry-After delay %s: %v", after, err)
				}
			})
		}
		time.Sleep(550 * time.Millisecond)
		crash = time.Now()
		for _, engine := range cluster.engines {
			engine.mutex.Lock()
			engine.boot = engine.name + "/2"
			engine.mutex.Unlock()
		}
		all.Wait()
		t.Logf("%d answered, %d refused", answered, refused)
		if answered < 4 || refused == 0 {
			t.Errorf("%d answered and %d refused", answered, refused)
		}
	})
}
