package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// pruneAfter is the time after which the ledger of an idle upstream is dropped.
const pruneAfter = time.Minute

// Router chooses replicas and keeps the load that this daemon put on them.
// It is safe for concurrent use.
type Router struct {
	clock clock.PassiveClock

	mutex  sync.Mutex
	random *rand.Rand
	// ledgers holds an entry for each upstream that was used within pruneAfter.
	ledgers map[string]*ledger
	pruned  time.Time
}

// New returns a router that knows nothing.
func New(clock clock.PassiveClock, random *rand.Rand) *Router {
	return &Router{clock: clock, random: random, ledgers: map[string]*ledger{}}
}

// Sent is one request of this daemon on an upstream. Done must be called once when it ended.
type Attempt struct {
	router  *Router
	name    string
	at      time.Time
	suspect bool
}

// Send notes a request that is about to be sent to the upstream.
func (router *Router) StartAttempt(name string, suspect bool) *Attempt {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	ledger := router.ledger(name, now)
	ledger.sent = append(ledger.sent, now)
	if suspect {
		ledger.suspects++
	}
	return &Attempt{router: router, name: name, at: now, suspect: suspect}
}

// Done notes that the request no longer runs.
func (sent *Attempt) Done() {
	router := sent.router
	router.mutex.Lock()
	defer router.mutex.Unlock()
	ledger := router.ledger(sent.name, router.clock.Now())
	ledger.finish(sent.at)
	if sent.suspect {
		ledger.suspects--
	}
}

// Report notes the load that came with an answer of the upstream.
func (router *Router) RecordLoad(name string, running, waiting int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	ledger := router.ledger(name, now)
	ledger.running, ledger.waiting, ledger.reported = running, waiting, now
}

// Succeeded notes a complete answer, which ends ejection.
func (router *Router) RecordSuccess(name string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.ledger(name, router.clock.Now()).health = health{}
}

// Failed notes a failure of the upstream itself and reports whether it ejects the upstream.
func (router *Router) RecordFailure(name string) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	ledger := router.ledger(name, now)
	before := ledger.health.ejected
	ledger.health.fail(now)
	return ledger.health.ejected && !before
}

// FailedBy is Failed for a failure that may be the fault of the request: the same request in a row counts once.
func (router *Router) RecordRequestFailure(name string, fingerprint uint64) bool {
	router.mutex.Lock()
	now := router.clock.Now()
	found := router.ledger(name, now)
	again := found.health.failures > 0 && found.health.blamed == fingerprint
	found.health.blamed = fingerprint
	router.mutex.Unlock()
	if again {
		return false
	}
	return router.RecordFailure(name)
}

// Eject takes an upstream out at once, as after a crash.
func (router *Router) Eject(name string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	ledger := router.ledger(name, now)
	ledger.health.failures = max(ledger.health.failures, ejectAfter)
	ledger.health.out(now)
}

// DueProbes returns the ejected upstreams whose probe is due.
func (router *Router) DueProbes() []string {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	router.prune(now)
	var due []string
	for name, ledger := range router.ledgers {
		if ledger.health.ejected && !now.Before(ledger.health.probeAt) {
			due = append(due, name)
		}
	}
	return due
}

// Running returns the number of requests of this daemon on the upstream.
func (router *Router) Running(name string) int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if found, ok := router.ledgers[name]; ok {
		return len(found.sent)
	}
	return 0
}

// LeavingSince returns when a choice first saw that the upstream leaves, or zero.
func (router *Router) LeavingSince(name string) time.Time {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if found, ok := router.ledgers[name]; ok {
		return found.leaving
	}
	return time.Time{}
}

// sign notes whether the candidate leaves. The mutex is held.
func (router *Router) sign(candidate *Candidate) {
	if candidate.Leaving {
		now := router.clock.Now()
		found := router.ledger(candidate.Upstream, now)
		if found.leaving.IsZero() {
			found.leaving = now
		}
		return
	}
	if found, ok := router.ledgers[candidate.Upstream]; ok {
		found.leaving = time.Time{}
	}
}

// Forget drops what is known of an upstream that is gone.
func (router *Router) Remove(name string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if found, ok := router.ledgers[name]; ok && len(found.sent) == 0 {
		delete(router.ledgers, name)
	}
}

// Probed notes the end of a probe of an ejected upstream.
func (router *Router) RecordProbe(name string, works bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.clock.Now()
	router.ledger(name, now).health.probed(works, now)
}

// ledger returns the ledger of the upstream, made if need be. The mutex is held.
func (router *Router) ledger(name string, now time.Time) *ledger {
	found, ok := router.ledgers[name]
	if !ok {
		found = &ledger{}
		router.ledgers[name] = found
	}
	found.touched = now
	return found
}

// prune drops idle ledgers once in pruneAfter. The mutex is held.
func (router *Router) prune(now time.Time) {
	if now.Sub(router.pruned) < pruneAfter {
		return
	}
	router.pruned = now
	for name, ledger := range router.ledgers {
		if ledger.idle() && now.Sub(ledger.touched) >= pruneAfter {
			delete(router.ledgers, name)
		}
	}
}
