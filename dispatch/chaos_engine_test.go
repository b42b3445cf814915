package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// silenceLimit is the time after which a fake stream counts as silent.
const silenceLimit = 300 * time.Millisecond

// restart ends the boot of the engine with its streams, and begins another after the pause.
func (engine *fakeEngine) restart(pause time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.die(pause)
}

// die ends the boot. The mutex is held.
func (engine *fakeEngine) die(pause time.Duration) {
	if engine.dead {
		return
	}
	engine.dead = true
	time.AfterFunc(pause, func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		engine.boots++
		engine.boot = fmt.Sprint(engine.name, "/", engine.boots+1)
		engine.dead = false
	})
}

// silence cuts the open connections without a sign.
func (engine *fakeEngine) silence() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.silenced++
}

// freeze stops the engine for the time.
func (engine *fakeEngine) freeze(pause time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.frozen = time.Now().Add(pause)
}

// leave shows the engine as leaving for the time.
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

// record counts an execution and kills the engine if the request is the crash request. The mutex is held.
func (engine *fakeEngine) record(generation upstream.Generation) {
	body := string(generation.Request.Body)
	engine.runs[body]++
	engine.ids[generation.Request.ID]++
	if !generation.Request.Idempotent {
		engine.once[body]++
	}
	if engine.poison != "" && body == engine.poison && !engine.dead {
		engine.crashes++
		engine.die(engine.recovers)
	}
}

// lose reports whether the request runs, and the fault of a lossy engine. The mutex is held.
func (engine *fakeEngine) lose() (ran bool, err error) {
	if engine.lossy == nil {
		return true, nil
	}
	switch engine.lossy.IntN(25) {
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

// ran returns how often the sending with the identifier ran.
func (world *fakeWorld) ran(id string) int {
	total := 0
	for _, engine := range world.engines {
		engine.mutex.Lock()
		total += engine.ids[id]
		engine.mutex.Unlock()
	}
	return total
}

// once returns how often each call ran that may run once.
func (world *fakeWorld) once() map[string]int {
	all := map[string]int{}
	for _, engine := range world.engines {
		engine.mutex.Lock()
		for call, runs := range engine.once {
			all[call] += runs
		}
		engine.mutex.Unlock()
	}
	return all
}

// chaosFields are the faults of a fakeEngine that the randomised run uses.
type chaosFields struct {
	// imports counts the generations taken up.
	imports int
	// boots counts the restarts, silenced the cuts of connections, crashes the deaths by the crash request.
	boots, silenced, crashes int
	// recovers is the time from a crash to the next boot.
	recovers time.Duration
	// frozen is the time until which the engine does nothing.
	frozen time.Time
	// lossy draws faults of generations; nil means none.
	lossy *rand.Rand
	// ids and once count executions by request identifier, and by body where they may not repeat.
	ids, once map[string]int
}
