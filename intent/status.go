package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Status tells what the entry counts for at a time.
func (book *Book) Status(entry *Entry, now time.Time) Status {
	if entry.Intent.Verb != upstream.Load {
		return book.orderStatus(entry, now)
	}
	view, known := book.views[entry.Intent.Upstream]
	if _, shown := view.Replica(entry.Intent.Model, entry.Intent.Version); shown {
		return Shown
	}
	if entry.Intent.Sender == book.me && entry.abandoned && !entry.reached && entry.open == 0 {
		return Gone
	}
	if !known {
		return Open
	}
	if settled, ok := book.settled(entry, now); ok && view.AsOf.After(settled) {
		return Gone
	}
	if view.AsOf.After(entry.since) && view.endsBoot(entry.Intent.BootID) {
		return Gone
	}
	if book.isFencedOff(entry, view) && view.AsOf.After(later(entry.since, entry.ended)) {
		return Gone
	}
	return Open
}

// isFencedOff reports whether the engine refuses every order of a foreign entry from now on.
func (book *Book) isFencedOff(entry *Entry, view View) bool {
	return entry.Intent.Sender != book.me && entry.open == 0 && view.fencesOff(entry.Intent.Fence)
}

// Inherited reports whether the engine shows the replica of a foreign entry whose sender can send
// nothing more, so that a row of this process may stand for it instead.
func (book *Book) Inherited(entry *Entry, now time.Time) bool {
	if entry.Intent.Sender == book.me || book.Status(entry, now) != Shown {
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
func (book *Book) orderStatus(entry *Entry, now time.Time) Status {
	if entry.Intent.Sender != book.me {
		return Gone
	}
	if _, ok := book.settled(entry, now); ok {
		return Gone
	}
	return Open
}

// settled returns the time from which no order of the entry takes effect any more.
func (book *Book) settled(entry *Entry, now time.Time) (time.Time, bool) {
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
