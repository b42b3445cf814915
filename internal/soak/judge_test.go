package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// answerBound is the longest time from a request to its answer or refusal: the class's total and
// the time in which an unresponsive part is given up.
const answerBound = time.Minute + 5*time.Second

// refusalBound is the longest time from a request to its refusal as not run: the class's deadline and
// the time in which an unresponsive part is given up.
const refusalBound = classDeadline + 5*time.Second

// judge collects results and breaches of promises.
type judge struct {
	world    *world
	lock     sync.Mutex
	breaches []string
	counts   map[string]int
	// unrun holds the requests that were refused as not run.
	unrun map[string]result
	// calls holds for each key what its callers were told.
	calls map[string][]result
	// leaving holds for each engine that leaves what was seen of it.
	leaving map[string]leaving
	// broken is the number of broken invariants at the begin.
	broken int64
}

func newJudge(world *world) *judge {
	return &judge{world: world, counts: map[string]int{}, unrun: map[string]result{}, calls: map[string][]result{}, leaving: map[string]leaving{}, broken: invariant.Violations()}
}

func (judge *judge) breach(format string, args ...any) {
	judge.lock.Lock()
	defer judge.lock.Unlock()
	events.breach()
	judge.breaches = append(judge.breaches, time.Now().Format(time.TimeOnly)+" "+fmt.Sprintf(format, args...))
}

// hear takes the result of one request.
func (judge *judge) hear(got result) {
	if got.wrong != "" {
		judge.breach("wrong answer: %s", got.wrong)
	}
	if got.word == outcome.NotRun && got.took > refusalBound && !judge.wasFrozen(got) {
		judge.breach("request %s was refused as not run after %s: %+v", got.id, got.took, got)
	}
	if got.took > answerBound && !judge.wasFrozen(got) {
		judge.breach("request %s ended after %s: %+v", got.id, got.took, got)
	}
	if got.kind == outcome.Internal.String() {
		judge.breach("request %s ended as Internal: %s", got.id, got.message)
	}
	if got.lost && got.entry != nil && judge.stands(got) {
		judge.breach("%s, which was not killed, dropped a request (frozen meanwhile: %t): %+v", got.entry.name, judge.wasFrozen(got), got)
	}
	judge.lock.Lock()
	defer judge.lock.Unlock()
	judge.counts[got.word1()]++
	if got.kind != "" && got.word == outcome.NotRun {
		judge.unrun[got.id] = got
	}
}

// stands reports whether the daemon that took the request was never killed.
func (judge *judge) stands(got result) bool {
	return !judge.world.wasKilled(got.entry, got.generation)
}

// word1 names the result in the counts of a run.
func (got result) word1() string {
	switch {
	case got.whole:
		return "answered"
	case got.lost:
		return "lost with its daemon"
	default:
		return got.kind
	}
}

// hearCall takes the result of one sending of a keyed call.
func (judge *judge) hearCall(key string, got result) {
	judge.hear(got)
	judge.lock.Lock()
	defer judge.lock.Unlock()
	judge.calls[key] = append(judge.calls[key], got)
}

// watch looks at the engines from time to time until the end.
func (judge *judge) watch(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(250 * time.Millisecond)
		judge.lookAtEngines()
		judge.lookAtLeaving()
	}
}

func (judge *judge) lookAtEngines() {
	for _, dataCentre := range dataCentres {
		loaded := map[string]int{}
		for _, member := range judge.world.members {
			made := judge.world.engine(member.Name)
			if made == nil || member.DataCentre != dataCentre {
				continue
			}
			for _, replica := range made.State().Replicas {
				if replica.Phase == upstream.Loading || replica.Phase == upstream.Ready {
					loaded[upstream.Checkpoint(replica.Model, replica.Version)]++
				}
			}
		}
		for checkpoint, count := range loaded {
			if count > mostReplicas {
				judge.breach("%d replicas of %s in %s, at most %d can be decided", count, checkpoint, dataCentre, mostReplicas)
			}
		}
	}
}

// mostReplicas is the largest MaxReplicas of the notes.
const mostReplicas = 2

// finish checks what can be known only at the end, and returns all breaches.
func (judge *judge) finish() []string {
	for id, got := range judge.unrun {
		if ran := judge.world.ran(id); ran > 0 {
			judge.breach("request %s was refused as not run (%s) and ran %d times", id, got.kind, ran)
		}
	}
	for key, results := range judge.calls {
		judge.finishCall(key, results)
	}
	for _, made := range judge.world.everyEngine() {
		if counts := made.Counts(); counts.OvercommitAttempts > 0 {
			judge.breach("%s refused %d orders that did not fit", made.State().Upstream, counts.OvercommitAttempts)
		}
	}
	judge.finishCrashes()
	if peak := judge.world.weights.Counts().LoadsPeak; peak > loadsAtOnce {
		judge.breach("%d loads from the weight store at once, at most %d are allowed", peak, loadsAtOnce)
	}
	if broken := invariant.Violations() - judge.broken; broken > 0 {
		judge.breach("%d invariants were broken in the program", broken)
	}
	return judge.breaches
}

func (judge *judge) finishCall(key string, results []result) {
	executions := judge.world.executions(key)
	if executions > 1 {
		judge.breach("call %s ran %d times", key, executions)
	}
	for _, got := range results {
		if got.whole && executions == 0 {
			judge.breach("call %s was answered and never ran", key)
		}
	}
}
