package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Status returns the status of the entry at a time.
func (tracker *Tracker) Status(entry *Entry, now time.Time) Status {
	if entry.Intent.Verb != upstream.Load {
		return tracker.orderStatus(entry, now)
	}
	view, known := tracker.views[entry.Intent.Upstream]
	if _, shown := view.Replica(entry.Intent.Model, entry.Intent.Version); shown {
		return Present
	}
	if entry.Intent.Sender == tracker.self && entry.abandoned && !entry.mayHaveReached && entry.inFlight == 0 {
		return Closed
	}
	if !known {
		return Open
	}
	if settled, ok := tracker.settled(entry, now); ok && view.AsOf.After(settled) {
		return Closed
	}
	if view.AsOf.After(entry.since) && view.rejectsBoot(entry.Intent.BootID) {
		return Closed
	}
	if tracker.isFenced(entry, view) && view.AsOf.After(later(entry.since, entry.effectiveUntil)) {
		return Closed
	}
	return Open
}

// isFenced reports whether the engine from now on rejects every order of an entry of another process.
func (tracker *Tracker) isFenced(entry *Entry, view View) bool {
	return entry.Intent.Sender != tracker.self && entry.inFlight == 0 && view.rejectsFence(entry.Intent.Fence)
}

// CanTakeOver reports whether a row of this process may replace an entry of another process: the engine shows
// the replica, and no order of the sender can take effect any more.
func (tracker *Tracker) CanTakeOver(entry *Entry, now time.Time) bool {
	if entry.Intent.Sender == tracker.self || tracker.Status(entry, now) != Present {
		return false
	}
	view := tracker.views[entry.Intent.Upstream]
	if !view.AsOf.After(later(entry.since, entry.effectiveUntil)) {
		return false
	}
	_, settled := tracker.settled(entry, now)
	return settled || tracker.isFenced(entry, view)
}

// orderStatus returns the status of an intent that is not a load and so is not charged. It is closed once it was
// answered or if it belongs to a former holder, since a delayed order of its kind does not change the charges.
func (tracker *Tracker) orderStatus(entry *Entry, now time.Time) Status {
	if entry.Intent.Sender != tracker.self {
		return Closed
	}
	if _, ok := tracker.settled(entry, now); ok {
		return Closed
	}
	return Open
}

// settled returns the time from which no order of the entry can take effect, or false if one still can.
func (tracker *Tracker) settled(entry *Entry, now time.Time) (time.Time, bool) {
	if entry.inFlight > 0 || now.Before(entry.effectiveUntil) {
		return time.Time{}, false
	}
	if entry.Intent.Sender == tracker.self {
		if entry.Verdict == "" && !entry.abandoned {
			return time.Time{}, false
		}
		return entry.effectiveUntil, true
	}
	if entry.senderEnded.IsZero() {
		return time.Time{}, false
	}
	expiry := entry.senderEnded.Add(tracker.orderLifetime)
	if now.Before(expiry) {
		return time.Time{}, false
	}
	return later(expiry, entry.effectiveUntil), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
