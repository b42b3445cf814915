package frontsoak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// turnover is the time that must pass between orders of two daemons.
	turnover = 3 * time.Second
	// leaveBound is the time after which a draining replica must get no request.
	leaveBound = 2500 * time.Millisecond
)

// judge notes what clients and replicas see, and what of it is wrong.
type judge struct {
	mutex sync.Mutex
	// runs counts the runs of each request.
	runs map[string]int
	// refused names the requests that may run once and were answered as not run.
	refused map[string]string
	// leaves maps replicas to when they began to drain.
	leaves map[string]time.Time
	// last maps runs of engines to their last order.
	last     map[string]seenOrder
	breaches []string
	// calm states since when the store has been without a fault; zero during one.
	calm time.Time
	// woken maps daemons to when they were last thawed.
	woken    map[string]time.Time
	outcomes map[string]int
	// crashes maps the bodies of crash requests to what they did.
	crashes map[string]crashRun
	// words is what replicas said of themselves.
	words words
}

// seenOrder is an order as an engine got it.
type seenOrder struct {
	order
	at time.Time
}

func newJudge() *judge {
	return &judge{
		runs: map[string]int{}, refused: map[string]string{}, leaves: map[string]time.Time{}, last: map[string]seenOrder{},
		calm: time.Now(), woken: map[string]time.Time{}, outcomes: map[string]int{},
		crashes: map[string]crashRun{}, words: newWords(),
	}
}

func (judge *judge) breach(format string, args ...any) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.note(format, args...)
}

// note adds a breach. The mutex is held.
func (judge *judge) note(format string, args ...any) {
	judge.breaches = append(judge.breaches, fmt.Sprintf(format, args...))
}

// ran notes a run of a request.
func (judge *judge) ran(id, replica string, now time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.runs[id]++
	if judge.runs[id] > 1 && once(id) {
		judge.note("%s ran %d times", id, judge.runs[id])
	}
	leaves := judge.leaves[replica]
	steady := !judge.calm.IsZero() && judge.calm.Before(leaves) && now.Sub(judge.calm) > 3*time.Second
	if !leaves.IsZero() && steady && now.Sub(leaves) > leaveBound && !judge.disturbed(now) {
		judge.note("%s reached %s %v after it began to drain", id, replica, now.Sub(leaves))
	}
}

// disturbed reports whether a daemon was thawed lately. The mutex is held.
func (judge *judge) disturbed(now time.Time) bool {
	for _, at := range judge.woken {
		if now.Sub(at) < 3*time.Second {
			return true
		}
	}
	return false
}

func (judge *judge) leaving(replica string, since time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.leaves[replica] = since
}

// storeFault notes that a fault of the store begins or ends.
func (judge *judge) storeFault(begins bool) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.calm = time.Now()
	if begins {
		judge.calm = time.Time{}
	}
}

func (judge *judge) thawed(daemon string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.woken[daemon] = time.Now()
}

// ordered notes an order and checks it against the one before. What a daemon had sent when it was frozen
// may arrive right after it is thawed.
func (judge *judge) ordered(engine string, born int64, next order) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	now := time.Now()
	if now.Sub(judge.woken[next.Holder]) < 300*time.Millisecond {
		return
	}
	key := fmt.Sprint(engine, born)
	before, known := judge.last[key]
	judge.last[key] = seenOrder{next, now}
	if !known || before.Holder == next.Holder {
		return
	}
	if next.FencingToken < before.FencingToken {
		judge.note("%s got token %d of %s after %d of %s", engine, next.FencingToken, next.Holder, before.FencingToken, before.Holder)
	}
	if gap := now.Sub(before.at); gap < turnover {
		judge.note("%s got orders of %s and %s within %v", engine, before.Holder, next.Holder, gap)
	}
}

// refusedAsNotRun notes an answer that says that the request did not run and never will.
func (judge *judge) refusedAsNotRun(id, answer string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.refused[id] = answer
}

func (judge *judge) count(outcome string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.outcomes[outcome]++
}

// verdict returns all breaches.
func (judge *judge) verdict() []string {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	for id, answer := range judge.refused {
		if once(id) && judge.runs[id] > 0 {
			judge.note("%s was answered %s and ran", id, answer)
		}
	}
	judge.crashVerdict()
	return judge.breaches
}
