package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// pruneAfter is the time after which the state of an idle upstream is removed.
const pruneAfter = time.Minute

// Router chooses replicas and tracks the requests that this daemon sends to them and their health.
// It is safe for concurrent use.
type Router struct {
	clock clock.PassiveClock

	mutex  sync.Mutex
	random *rand.Rand
	// states holds the state of each upstream that was used within pruneAfter.
	states   map[string]*state
	prunedAt time.Time
}

// New returns a router without state.
func New(clock clock.PassiveClock, random *rand.Rand) *Router {
	return &Router{clock: clock, random: random, states: map[string]*state{}}
}

// Attempt is one request of this daemon in flight on an upstream. Done must be called exactly once when it has ended.
type Attempt struct {
	router  *Router
	name    string
	at      time.Time
	suspect bool
}

// StartAttempt records a request that is about to be sent to the upstream.
func (router *Router) StartAttempt(name string, suspect bool) *Attempt {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	state := router.state(name, now)
	state.sendTimes = append(state.sendTimes, now)
	if suspect {
		state.suspects++
	}
	return &Attempt{router: router, name: name, at: now, suspect: suspect}
}

// Done records that the request has ended.
func (attempt *Attempt) Done() {
	router := attempt.router
	router.mutex.Lock()
	defer router.mutex.Unlock()
	state := router.state(attempt.name, router.clock.Now())
	state.finish(attempt.at)
	if attempt.suspect {
		state.suspects--
	}
}

// RecordLoad records the load report that came with a response of the upstream.
func (router *Router) RecordLoad(name string, running, waiting int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	state := router.state(name, now)
	state.running, state.waiting, state.reportedAt = running, waiting, now
}

// RecordSuccess records a complete response, which ends ejection.
func (router *Router) RecordSuccess(name string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.state(name, router.clock.Now()).health = health{}
}

// RecordFailure records a failure of the upstream itself and reports whether it ejects the upstream.
func (router *Router) RecordFailure(name string) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	state := router.state(name, now)
	before := state.health.ejected
	state.health.recordFailure(now)
	return state.health.ejected && !before
}

// RecordRequestFailure is like RecordFailure for a failure that the request may have caused: consecutive failures with
// the same fingerprint count once.
func (router *Router) RecordRequestFailure(name string, fingerprint uint64) bool {
	router.mutex.Lock()
	now := router.clock.Now()
	found := router.state(name, now)
	again := found.health.failures > 0 && found.health.lastFingerprint == fingerprint
	found.health.lastFingerprint = fingerprint
	router.mutex.Unlock()
	if again {
		return false
	}
	return router.RecordFailure(name)
}

// Eject ejects an upstream at once, for example after a crash.
func (router *Router) Eject(name string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	state := router.state(name, now)
	state.health.failures = max(state.health.failures, ejectAfter)
	state.health.ejectOnce(now)
}

// DueProbes returns the names of the ejected upstreams whose probe is due.
func (router *Router) DueProbes() []string {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	router.prune(now)
	var due []string
	for name, state := range router.states {
		if state.health.ejected && !now.Before(state.health.probeAt) {
			due = append(due, name)
		}
	}
	return due
}

// Running returns the number of requests of this daemon in flight on the upstream.
func (router *Router) Running(name string) int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if found, ok := router.states[name]; ok {
		return len(found.sendTimes)
	}
	return 0
}

// LeavingSince returns the time at which a candidate on the upstream was first seen to be leaving, or zero.
func (router *Router) LeavingSince(name string) time.Time {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if found, ok := router.states[name]; ok {
		return found.leavingSince
	}
	return time.Time{}
}

// recordLeaving records whether the candidate is leaving. The caller holds the mutex.
func (router *Router) recordLeaving(candidate *Candidate) {
	if candidate.Leaving {
		now := router.clock.Now()
		found := router.state(candidate.Upstream, now)
		if found.leavingSince.IsZero() {
			found.leavingSince = now
		}
		return
	}
	if found, ok := router.states[candidate.Upstream]; ok {
		found.leavingSince = time.Time{}
	}
}

// Remove removes the state of an upstream that no longer exists, unless requests are in flight there.
func (router *Router) Remove(name string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if found, ok := router.states[name]; ok && len(found.sendTimes) == 0 {
		delete(router.states, name)
	}
}

// RecordProbe records the result of a probe of an ejected upstream.
func (router *Router) RecordProbe(name string, succeeded bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	router.state(name, now).health.recordProbe(succeeded, now)
}

// state returns the state of the upstream, created if it does not exist. The caller holds the mutex.
func (router *Router) state(name string, now time.Time) *state {
	found, ok := router.states[name]
	if !ok {
		found = &state{}
		router.states[name] = found
	}
	found.changedAt = now
	return found
}

// prune removes idle states, at most once per pruneAfter. The caller holds the mutex.
func (router *Router) prune(now time.Time) {
	if now.Sub(router.prunedAt) < pruneAfter {
		return
	}
	router.prunedAt = now
	for name, state := range router.states {
		if state.idle() && now.Sub(state.changedAt) >= pruneAfter {
			delete(router.states, name)
		}
	}
}
