package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

const (
	// silenceTimeout is the time without a piece or heartbeat after which a fake stream reports silence.
	silenceTimeout = time.Second
	// forever is longer than any test.
	forever = 24 * time.Hour
)

// restart ends the boot of the engine and its streams, and starts the next boot after the pause.
func (engine *fakeEngine) restart(pause time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.crash(pause)
}

// crash ends the boot and schedules the next one after the pause. The mutex must be held.
func (engine *fakeEngine) crash(pause time.Duration) {
	if engine.down {
		return
	}
	engine.down = true
	time.AfterFunc(pause, func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		engine.boots++
		engine.boot = fmt.Sprint(engine.name, "/", engine.boots+1)
		engine.down = false
	})
}

// cutConnections makes all open streams silent without an error.
func (engine *fakeEngine) cutConnections() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.cuts++
}

// freeze stops the engine for the duration.
func (engine *fakeEngine) freeze(pause time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.frozen = time.Now().Add(pause)
}

// leave marks the engine as leaving for the duration.
func (engine *fakeEngine) leave(pause time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.leaving = true
	time.AfterFunc(pause, func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		engine.leaving = false
	})
}

// recordRun counts an execution, and crashes the engine if the request is the crash request. The mutex must be
// held.
func (engine *fakeEngine) recordRun(generation upstream.Generation) {
	body := string(generation.Request.Body)
	engine.runs[body]++
	engine.ids[generation.Request.ID]++
	if !generation.Request.Idempotent {
		engine.nonIdempotentRuns[body]++
	}
	if engine.poison != "" && body == engine.poison && !engine.down {
		engine.crashes++
		engine.crash(engine.restartDelay)
	}
}

// drawFault draws a random fault if the engine has a source of faults. It reports whether the request runs and
// the error to return. The mutex must be held.
func (engine *fakeEngine) drawFault() (ran bool, err error) {
	if engine.faults == nil {
		return true, nil
	}
	switch engine.faults.IntN(25) {
	case 0:
		return false, &upstream.RefusedError{Status: 503, Reason: "full"}
	case 1:
		return true, upstream.ErrNoResponse
	case 2:
		return false, upstream.ErrNoResponse
	case 3:
		return true, upstream.ErrMismatched
	case 4:
		return false, upstream.ErrNotSent
	}
	return true, nil
}

// runsOf returns how often the request with the ID ran.
func (cluster *fakeCluster) runsOf(id string) int {
	total := 0
	for _, engine := range cluster.engines {
		engine.mutex.Lock()
		total += engine.ids[id]
		engine.mutex.Unlock()
	}
	return total
}

// nonIdempotentRuns returns how often each non-idempotent call ran, by body.
func (cluster *fakeCluster) nonIdempotentRuns() map[string]int {
	all := map[string]int{}
	for _, engine := range cluster.engines {
		engine.mutex.Lock()
		for call, runs := range engine.nonIdempotentRuns {
			all[call] += runs
		}
		engine.mutex.Unlock()
	}
	return all
}

// chaosFields holds the faults that the randomised test injects into a fakeEngine.
type chaosFields struct {
	// imports counts the imported generations. onExport is called as one is exported, unless it is nil.
	imports  int
	onExport func()
	// boots counts the restarts, cuts the cut connections and crashes the crashes caused by the crash request.
	boots, cuts, crashes int
	// restartDelay is the time from a crash to the next boot.
	restartDelay time.Duration
	// frozen is the time until which the engine is stopped.
	frozen time.Time
	// faults draws faults of generations; nil disables them.
	faults *rand.Rand
	// ids counts executions by request ID, nonIdempotentRuns those of non-idempotent requests by body.
	ids, nonIdempotentRuns map[string]int
}
