package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// responseBound is the longest time from a request to its response or refusal: the total time limit of the class, and
// the time until a daemon gives up an unresponsive connection.
const responseBound = time.Minute + 5*time.Second

// refusalBound is the longest time from a request to its refusal as not run: the deadline of the class, and the time
// until a daemon gives up an unresponsive connection.
const refusalBound = classDeadline + 5*time.Second

// checker collects results and records each violation of a guarantee.
type checker struct {
	testbed    *testbed
	lock       sync.Mutex
	violations []string
	counts     map[string]int
	// notRun holds the requests that were refused as not run.
	notRun map[string]result
	// calls holds the results of all attempts of each keyed call.
	calls map[string][]result
	// leaving holds what was observed of each leaving engine.
	leaving map[string]leaving
	// brokenInvariants is the number of broken invariants at the start.
	brokenInvariants int64
}

func newChecker(testbed *testbed) *checker {
	return &checker{testbed: testbed, counts: map[string]int{}, notRun: map[string]result{}, calls: map[string][]result{}, leaving: map[string]leaving{}, brokenInvariants: invariant.Violations()}
}

// recordViolation adds a violation with the current time.
func (checker *checker) recordViolation(format string, args ...any) {
	checker.lock.Lock()
	defer checker.lock.Unlock()
	logTrace.recordViolation()
	checker.violations = append(checker.violations, time.Now().Format(time.TimeOnly)+" "+fmt.Sprintf(format, args...))
}

// record counts the result of one request, and checks what can be checked at once.
func (checker *checker) record(got result) {
	if got.problem != "" {
		checker.recordViolation("wrong response: %s", got.problem)
	}
	if got.execution == outcome.NotRun && got.elapsed > refusalBound && !checker.wasFrozen(got) {
		checker.recordViolation("request %s was refused as not run after %s: %+v", got.id, got.elapsed, got)
	}
	if got.elapsed > responseBound && !checker.wasFrozen(got) {
		checker.recordViolation("request %s ended after %s: %+v", got.id, got.elapsed, got)
	}
	if got.kind == outcome.Internal.String() {
		checker.recordViolation("request %s ended as Internal: %s", got.id, got.message)
	}
	if got.lost && got.entry != nil && checker.survived(got) {
		checker.recordViolation("%s, which was not killed, dropped a request (frozen meanwhile: %t): %+v", got.entry.name, checker.wasFrozen(got), got)
	}
	checker.lock.Lock()
	defer checker.lock.Unlock()
	checker.counts[got.label()]++
	if got.kind != "" && got.execution == outcome.NotRun {
		checker.notRun[got.id] = got
	}
}

// survived reports whether the daemon that received the request was never killed.
func (checker *checker) survived(got result) bool {
	return !checker.testbed.wasKilled(got.entry, got.generation)
}

// label returns the name under which the result is counted.
func (got result) label() string {
	switch {
	case got.complete:
		return "answered"
	case got.lost:
		return "lost with its daemon"
	default:
		return got.kind
	}
}

// recordCall records the result of one attempt of a keyed call.
func (checker *checker) recordCall(key string, got result) {
	checker.record(got)
	checker.lock.Lock()
	defer checker.lock.Unlock()
	checker.calls[key] = append(checker.calls[key], got)
}

// watch checks the engines every 250 ms until the end.
func (checker *checker) watch(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(250 * time.Millisecond)
		checker.checkEngines()
		checker.checkLeaving()
	}
}

// checkEngines checks that no data centre holds more replicas of a model version than can be decided.
func (checker *checker) checkEngines() {
	for _, dataCentre := range dataCentres {
		loaded := map[string]int{}
		for _, member := range checker.testbed.members {
			instance := checker.testbed.engine(member.Name)
			if instance == nil || member.DataCentre != dataCentre {
				continue
			}
			for _, replica := range instance.State().Replicas {
				if replica.Phase == upstream.Loading || replica.Phase == upstream.Ready {
					loaded[upstream.CheckpointKey(replica.Model, replica.Version)]++
				}
			}
		}
		for checkpoint, count := range loaded {
			if count > maxReplicas {
				checker.recordViolation("%d replicas of %s in %s, at most %d can be decided", count, checkpoint, dataCentre, maxReplicas)
			}
		}
	}
}

// maxReplicas is the largest MaxReplicas of the notes.
const maxReplicas = 2

// finish makes the checks that need the whole run, and returns all violations.
func (checker *checker) finish() []string {
	for id, got := range checker.notRun {
		if runs := checker.testbed.runs(id); runs > 0 {
			checker.recordViolation("request %s was refused as not run (%s) and ran %d times", id, got.kind, runs)
		}
	}
	for key, results := range checker.calls {
		checker.checkCall(key, results)
	}
	for _, instance := range checker.testbed.allEngines() {
		if counts := instance.Counts(); counts.OvercommitAttempts > 0 {
			checker.recordViolation("%s refused %d orders that did not fit", instance.State().Upstream, counts.OvercommitAttempts)
		}
	}
	checker.checkCrashes()
	if peak := checker.testbed.weights.Counts().LoadsPeak; peak > loadsAtOnce {
		checker.recordViolation("%d loads from the weight store at once, at most %d are allowed", peak, loadsAtOnce)
	}
	if brokenInvariants := invariant.Violations() - checker.brokenInvariants; brokenInvariants > 0 {
		checker.recordViolation("%d invariants were broken in the daemons", brokenInvariants)
	}
	return checker.violations
}

// checkCall checks that a keyed call ran at most once, and ran if a caller got a complete response.
func (checker *checker) checkCall(key string, results []result) {
	executions := checker.testbed.executions(key)
	if executions > 1 {
		checker.recordViolation("call %s ran %d times", key, executions)
	}
	for _, got := range results {
		if got.complete && executions == 0 {
			checker.recordViolation("call %s got a complete response and never ran", key)
		}
	}
}
