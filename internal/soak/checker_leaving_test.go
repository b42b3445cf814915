package soak

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
)

// leavingBound is the time within which every daemon connected to an engine must know that the engine is leaving.
const leavingBound = 3 * time.Second

// leaving holds what the checker observed of an engine that reports that it is leaving.
type leaving struct {
	instance *engine.Server
	since    time.Time
	// baseline is the number of requests and loads that came within leavingBound; known once that time is over.
	baseline int
	known    bool
}

// checkLeaving checks that an engine gets no new work from leavingBound after it reported that it is leaving. It skips
// engines that some daemon could not reach all that time.
func (checker *checker) checkLeaving() {
	for _, member := range checker.testbed.members {
		instance := checker.testbed.engine(member.Name)
		if instance == nil {
			continue
		}
		seen, ok := checker.leaving[member.Name]
		if !instance.State().Leaving || ok && seen.instance != instance || !checker.reachedByAll(member.Name, seen.since) {
			delete(checker.leaving, member.Name)
			continue
		}
		count := instance.Counts().AfterLeaving
		switch {
		case !ok:
			seen = leaving{instance: instance, since: time.Now()}
		case !seen.known && time.Since(seen.since) > leavingBound:
			seen.baseline, seen.known = count, true
		case seen.known && count > seen.baseline:
			checker.recordViolation("%s got %d requests or loads more than %s after it reported that it is leaving", member.Name, count-seen.baseline, leavingBound)
			seen.baseline = count
		}
		checker.leaving[member.Name] = seen
	}
}

// reachedByAll reports whether every daemon could reach a host all the time since then; after a zero time it reports
// false if a connection was ever blocked or stalled.
func (checker *checker) reachedByAll(host string, since time.Time) bool {
	for _, entry := range checker.testbed.entries {
		if !checker.testbed.network.connectedSince(hostOf(entry), host, since) || checker.testbed.frozenSince(entry, since) {
			return false
		}
	}
	return true
}

// frozenSince reports whether an entry was frozen at any time after the given one.
func (testbed *testbed) frozenSince(entry *entry, since time.Time) bool {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	return entry.frozenUntil.After(since)
}
