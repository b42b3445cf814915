package frontsoak

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// turnover is the time that must pass between orders of two daemons to one engine.
	turnover = 3 * time.Second
	// drainBound is the time after which a draining replica must get no request.
	drainBound = 2500 * time.Millisecond
)

// checker records what clients and replicas observe, and each violation of a guarantee.
type checker struct {
	mutex sync.Mutex
	// executions counts how often replicas ran each request.
	executions map[string]int
	// refused maps requests that were refused as not run to the status of the refusal.
	refused map[string]string
	// drainStarted maps replicas to when they began to drain.
	drainStarted map[string]time.Time
	// lastOrders maps incarnations of engines to the last order that they received.
	lastOrders map[string]receivedOrder
	violations []string
	// storeStable is the time since which the store has had no fault; zero during one.
	storeStable time.Time
	// storeFaults is the number of its faults that have begun and not ended.
	storeFaults int
	// lastResumes maps daemons to when they were last resumed.
	lastResumes map[string]time.Time
	outcomes    map[string]int
	// crashes maps the bodies of crash requests to their effects.
	crashes map[string]crashRecord
	// notices holds what replicas reported about themselves.
	notices notices
	// limits lists the periods in which replicas name limits.
	limits []*limitPeriod
	// deadly is the part of prompts that ends replicas; nil means that there is none.
	deadly atomic.Pointer[deadlyPart]
	// streams is the form of the events of all replicas. It must not change once the first request was sent.
	streams eventForm
}

// receivedOrder is an order with the time at which an engine received it.
type receivedOrder struct {
	order
	at time.Time
}

func newChecker() *checker {
	return &checker{
		executions: map[string]int{}, refused: map[string]string{}, drainStarted: map[string]time.Time{}, lastOrders: map[string]receivedOrder{},
		storeStable: time.Now(), lastResumes: map[string]time.Time{}, outcomes: map[string]int{},
		crashes: map[string]crashRecord{}, notices: newNotices(),
	}
}

// recordViolation adds a violation.
func (checker *checker) recordViolation(format string, args ...any) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.recordViolationLocked(format, args...)
}

// recordViolationLocked adds a violation. The mutex is held.
func (checker *checker) recordViolationLocked(format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

// recordExecution records that a replica runs a request, and checks that it may.
func (checker *checker) recordExecution(id, replica string, now time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.executions[id]++
	if checker.executions[id] > 1 && atMostOnce(id) {
		checker.recordViolationLocked("%s ran %d times", id, checker.executions[id])
	}
	drainStarted := checker.drainStarted[replica]
	steady := !checker.storeStable.IsZero() && checker.storeStable.Before(drainStarted) && now.Sub(checker.storeStable) > 3*time.Second
	if !drainStarted.IsZero() && steady && now.Sub(drainStarted) > drainBound && !checker.resumedRecently(now) {
		checker.recordViolationLocked("%s reached %s %v after the replica began to drain", id, replica, now.Sub(drainStarted))
	}
}

// resumedRecently reports whether any daemon was resumed in the last 3 s. The mutex is held.
func (checker *checker) resumedRecently(now time.Time) bool {
	for _, at := range checker.lastResumes {
		if now.Sub(at) < 3*time.Second {
			return true
		}
	}
	return false
}

// recordDrain records when a replica began to drain; zero means that it does not drain.
func (checker *checker) recordDrain(replica string, since time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.drainStarted[replica] = since
}

// recordStoreFault records that a fault of the store begins or ends.
func (checker *checker) recordStoreFault(begins bool) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if begins {
		checker.storeFaults++
	} else {
		checker.storeFaults--
	}
	checker.storeStable = time.Now()
	if checker.storeFaults > 0 {
		checker.storeStable = time.Time{}
	}
}

// recordResume records that a suspended daemon is about to be resumed.
func (checker *checker) recordResume(daemon string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.lastResumes[daemon] = time.Now()
}

// recordOrder records an order and checks its fencing token and time against the previous one. Orders that arrive right
// after their sender was resumed are not checked: the daemon may have sent them before it was suspended.
func (checker *checker) recordOrder(engine string, startedAt int64, next order) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	now := time.Now()
	if now.Sub(checker.lastResumes[next.Holder]) < 300*time.Millisecond {
		return
	}
	key := fmt.Sprint(engine, startedAt)
	before, known := checker.lastOrders[key]
	checker.lastOrders[key] = receivedOrder{next, now}
	if !known || before.Holder == next.Holder {
		return
	}
	if next.FencingToken < before.FencingToken {
		checker.recordViolationLocked("%s got fencing token %d of %s after %d of %s", engine, next.FencingToken, next.Holder, before.FencingToken, before.Holder)
	}
	if gap := now.Sub(before.at); gap < turnover {
		checker.recordViolationLocked("%s got orders of %s and %s within %v", engine, before.Holder, next.Holder, gap)
	}
}

// recordRefusal records a response stating that the request did not run and never will.
func (checker *checker) recordRefusal(id, status string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.refused[id] = status
}

// count counts an outcome for the log.
func (checker *checker) count(outcome string) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	checker.outcomes[outcome]++
}

// countCut counts the end of a request that was sent at the time and got neither a whole answer nor a refusal, unless its time was
// nearly used up.
func (checker *checker) countCut(sent time.Time) {
	if time.Since(sent) < cutTime {
		checker.count(cutOutcome)
	}
}

// finish makes the checks that need the whole run, and returns all violations.
func (checker *checker) finish() []string {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	for id, status := range checker.refused {
		if atMostOnce(id) && checker.executions[id] > 0 {
			checker.recordViolationLocked("%s was refused as not run with %s, but ran", id, status)
		}
	}
	checker.checkCrashes()
	checker.checkLimits()
	return checker.violations
}
