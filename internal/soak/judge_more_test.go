package soak

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
)

// leavingBound is the time in which every daemon that hears an engine learns that it leaves.
const leavingBound = 3 * time.Second

// leaving is what the judge saw of an engine that says that it leaves.
type leaving struct {
	made  *engine.Server
	since time.Time
	// counted is the number of requests and loads that came in the first leavingBound; known once that is over.
	counted int
	known   bool
}

// lookAtLeaving checks that no new work comes to an engine some seconds after it said that it leaves,
// as long as every daemon reached it all that time.
func (judge *judge) lookAtLeaving() {
	for _, member := range judge.world.members {
		made := judge.world.engine(member.Name)
		if made == nil {
			continue
		}
		seen, ok := judge.leaving[member.Name]
		if !made.State().Leaving || ok && seen.made != made || !judge.heardByAll(member.Name, seen.since) {
			delete(judge.leaving, member.Name)
			continue
		}
		count := made.Counts().AfterLeaving
		switch {
		case !ok:
			seen = leaving{made: made, since: time.Now()}
		case !seen.known && time.Since(seen.since) > leavingBound:
			seen.counted, seen.known = count, true
		case seen.known && count > seen.counted:
			judge.breach("%s got %d requests or loads more than %s after it said that it leaves", member.Name, count-seen.counted, leavingBound)
			seen.counted = count
		}
		judge.leaving[member.Name] = seen
	}
}

// heardByAll reports whether every daemon has reached a host since the time, or now if the time is zero.
func (judge *judge) heardByAll(host string, since time.Time) bool {
	for _, entry := range judge.world.entries {
		if !judge.world.wires.joined(hostOf(entry), host, since) || judge.world.wasHeldBack(entry, since) {
			return false
		}
	}
	return true
}

// wasHeldBack reports whether an entry was frozen after the time.
func (world *world) wasHeldBack(entry *entry, since time.Time) bool {
	world.lock.Lock()
	defer world.lock.Unlock()
	return entry.frozenUntil.After(since)
}
