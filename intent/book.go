package intent

import (
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Book holds the intents and budgets of one data centre with what is known of their orders.
// It belongs to one goroutine. It does no I/O and takes the time as an argument.
type Tracker struct {
	me Sender
	// linger bounds how long the bytes of a call without an answer may still take effect.
	linger time.Duration
	// entries holds every entry once, by identifier; byUpstream holds the same by upstream.
	entries map[string]*Entry
	// sorted holds the entries in order, or is nil after a change.
	sorted     []*Entry
	byUpstream map[string][]*Entry
	views      map[string]View
	budgets    []*openBudget
}

// NewBook returns an empty book of the process. The linger bounds how long the bytes of a call
// without an answer, or of a process that is gone, may still take effect on an engine.
func NewTracker(me Sender, linger time.Duration) *Tracker {
	return &Tracker{
		me:         me,
		linger:     linger,
		entries:    map[string]*Entry{},
		byUpstream: map[string][]*Entry{},
		views:      map[string]View{},
	}
}

// Add puts an intent into the book and returns its entry. An intent that is there is left alone.
// The time is one at which the intent was already decided.
func (book *Tracker) Add(intent Intent, recorded bool, now time.Time) *Entry {
	if entry, ok := book.entries[intent.ID]; ok {
		entry.Recorded = entry.Recorded || recorded
		return entry
	}
	entry := &Entry{Intent: intent, Recorded: recorded, since: now}
	book.entries[intent.ID] = entry
	book.sorted = nil
	book.byUpstream[intent.Upstream] = append(book.byUpstream[intent.Upstream], entry)
	return entry
}

// Remove takes an intent out of the book.
func (book *Tracker) Remove(id string) {
	entry, ok := book.entries[id]
	if !ok {
		return
	}
	delete(book.entries, id)
	book.sorted = nil
	name := entry.Intent.Upstream
	rest := slices.DeleteFunc(book.byUpstream[name], func(other *Entry) bool { return other == entry })
	book.byUpstream[name] = rest
	if len(rest) == 0 {
		delete(book.byUpstream, name)
	}
}

// Entry returns the entry of the intent, or nil.
func (book *Tracker) Entry(id string) *Entry {
	return book.entries[id]
}

// Entries returns all entries in order of identifiers. The caller must not change the slice; it
// stays as it is when the book changes.
func (book *Tracker) Entries() []*Entry {
	if book.sorted != nil {
		return book.sorted
	}
	book.sorted = make([]*Entry, 0, len(book.entries))
	for _, entry := range book.entries {
		book.sorted = append(book.sorted, entry)
	}
	slices.SortFunc(book.sorted, func(a, b *Entry) int { return strings.Compare(a.Intent.ID, b.Intent.ID) })
	return book.sorted
}

// Upstreams returns the names of the upstreams with entries.
func (book *Tracker) Upstreams() []string {
	names := make([]string, 0, len(book.byUpstream))
	for name := range book.byUpstream {
		names = append(names, name)
	}
	return names
}

// On returns the entries of an upstream. The caller must not change the slice.
func (book *Tracker) EntriesOn(name string) []*Entry {
	return book.byUpstream[name]
}

// Observe takes a newer view of an engine and reports whether it was newer.
func (book *Tracker) Observe(view View) bool {
	name := view.State.Upstream
	last, known := book.views[name]
	if known && view.AsOf.Before(last.AsOf) {
		return false
	}
	if known && view.State.BootID == last.State.BootID && view.State.Sequence < last.State.Sequence {
		return false
	}
	book.views[name] = view
	return true
}

// View returns the newest view of an engine.
func (book *Tracker) View(name string) (View, bool) {
	view, ok := book.views[name]
	return view, ok
}

// Sending notes that an attempt of this process begins.
func (book *Tracker) RecordAttempt(id string, now time.Time) {
	entry := book.entries[id]
	if entry == nil {
		return
	}
	entry.Attempts++
	entry.open++
	entry.Sent = now
}

// Answered notes that an attempt ended with a verdict.
func (book *Tracker) RecordVerdict(id string, verdict upstream.Verdict, now time.Time) {
	entry := book.entries[id]
	if entry == nil {
		return
	}
	entry.Verdict = verdict
	entry.reached = true
	book.end(entry, now)
}

// NotSent notes that an attempt ended before any byte reached the engine.
func (book *Tracker) RecordNotSent(id string, now time.Time) {
	if entry := book.entries[id]; entry != nil {
		book.end(entry, now)
	}
}

// Unanswered notes that an attempt ended without an answer; the engine may act on it for the linger.
func (book *Tracker) RecordNoResponse(id string, now time.Time) {
	if entry := book.entries[id]; entry != nil {
		entry.reached = true
		book.end(entry, now.Add(book.linger))
	}
}

func (book *Tracker) end(entry *Entry, effective time.Time) {
	entry.open--
	if effective.After(entry.ended) {
		entry.ended = effective
	}
}

// Abandon notes that this process sends no further attempt of the intent.
func (book *Tracker) Abandon(id string) {
	if entry := book.entries[id]; entry != nil {
		entry.abandoned = true
	}
}

// SenderGone notes that a foreign process sends no more orders.
func (book *Tracker) MarkSenderEnded(sender Sender, now time.Time) {
	for _, entry := range book.entries {
		if entry.Intent.Sender == sender && entry.senderGone.IsZero() {
			entry.senderGone = now
		}
	}
	for _, budget := range book.budgets {
		if budget.Sender == sender && budget.senderGone.IsZero() {
			budget.senderGone = now
		}
	}
}

// IsOpen reports whether an attempt of this process has not ended.
func (entry *Entry) IsInFlight() bool {
	return entry.open > 0
}

// HasReached reports whether a byte of an attempt of this process may have reached the engine.
func (entry *Entry) MayHaveReached() bool {
	return entry.reached || entry.open > 0
}

// IsAbandoned reports whether this process sends no further attempt.
func (entry *Entry) IsAbandoned() bool {
	return entry.abandoned
}

// ForeignSenders returns each process other than this one that may still send an order.
func (book *Tracker) OtherSenders() []Sender {
	var senders []Sender
	add := func(sender Sender, gone time.Time) {
		if sender != book.me && gone.IsZero() && !slices.Contains(senders, sender) {
			senders = append(senders, sender)
		}
	}
	for _, entry := range book.Entries() {
		add(entry.Intent.Sender, entry.senderGone)
	}
	for _, budget := range book.budgets {
		add(budget.Sender, budget.senderGone)
	}
	return senders
}
