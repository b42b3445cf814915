package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Status tells what the entry counts for at a time.
func (book *Tracker) Status(entry *Entry, now time.Time) Status {
	if entry.Intent.Verb != upstream.Load {
		return book.orderStatus(entry, now)
	}
	view, known := book.views[entry.Intent.Upstream]
	if _, shown := view.Replica(entry.Intent.Model, entry.Intent.Version); shown {
		return Present
	}
	if entry.Intent.Sender == book.me && entry.abandoned && !entry.reached && entry.open == 0 {
		return Closed
	}
	if !known {
		return Open
	}
	if settled, ok := book.settled(entry, now); ok && view.AsOf.After(settled) {
		return Closed
	}
	if view.AsOf.After(entry.since) && view.endsBoot(entry.Intent.BootID) {
		return Closed
	}
	if book.isFencedOff(entry, view) && view.AsOf.After(later(entry.since, entry.ended)) {
		return Closed
	}
	return Open
}

// isFencedOff reports whether the engine refuses every order of a foreign entry from now on.
func (book *Tracker) isFencedOff(entry *Entry, view View) bool {
	return entry.Intent.Sender != book.me && entry.open == 0 && view.fencesOff(entry.Intent.Fence)
}

// Inherited reports whether the engine shows the replica of a foreign entry whose sender can send
// nothing more, so that a row of this process may stand for it instead.
func (book *Tracker) CanTakeOver(entry *Entry, now time.Time) bool {
	if entry.Intent.Sender == book.me || book.Status(entry, now) != Present {
		return false
	}
	view := book.views[entry.Intent.Upstream]
	if !view.AsOf.After(later(entry.since, entry.ended)) {
		return false
	}
	_, settled := book.settled(entry, now)
	return settled || book.isFencedOff(entry, view)
}

// orderStatus is the status of an intent that charges nothing: it is gone once it was answered
// or belongs to a former holder, since a late order of its kind changes no sum.
func (book *Tracker) orderStatus(entry *Entry, now time.Time) Status {
	if entry.Intent.Sender != book.me {
		return Closed
	}
	if _, ok := book.settled(entry, now); ok {
		return Closed
	}
	return Open
}

// settled returns the time from which no order of the entry takes effect any more.
func (book *Tracker) settled(entry *Entry, now time.Time) (time.Time, bool) {
	if entry.open > 0 || now.Before(entry.ended) {
		return time.Time{}, false
	}
	if entry.Intent.Sender == book.me {
		if entry.Verdict == "" && !entry.abandoned {
			return time.Time{}, false
		}
		return entry.ended, true
	}
	if entry.senderGone.IsZero() {
		return time.Time{}, false
	}
	gone := entry.senderGone.Add(book.linger)
	if now.Before(gone) {
		return time.Time{}, false
	}
	return later(gone, entry.ended), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
