package intent

import (
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Tracker holds the intents and budgets of one data centre and the state of their orders.
// It is not safe for concurrent use. It does no I/O and takes the time as an argument.
type Tracker struct {
	self Sender
	// orderLifetime bounds how long an order without a response may still take effect.
	orderLifetime time.Duration
	// entries holds every entry once, by identifier; byUpstream holds the same by upstream.
	entries map[string]*Entry
	// sorted holds the entries in order of identifiers, or is nil after a change.
	sorted     []*Entry
	byUpstream map[string][]*Entry
	views      map[string]View
	budgets    []*trackedBudget
}

// NewTracker returns an empty tracker of the process. The order lifetime bounds how long an order without
// a response, or of a process that has ended, may still take effect on an engine.
func NewTracker(self Sender, orderLifetime time.Duration) *Tracker {
	return &Tracker{
		self:          self,
		orderLifetime: orderLifetime,
		entries:       map[string]*Entry{},
		byUpstream:    map[string][]*Entry{},
		views:         map[string]View{},
	}
}

// Add adds an intent and returns its entry. An intent that is already tracked is not replaced.
// The time must be one at which the intent was already decided.
func (tracker *Tracker) Add(intent Intent, recorded bool, now time.Time) *Entry {
	if entry, ok := tracker.entries[intent.ID]; ok {
		entry.Recorded = entry.Recorded || recorded
		return entry
	}
	entry := &Entry{Intent: intent, Recorded: recorded, since: now}
	tracker.entries[intent.ID] = entry
	tracker.sorted = nil
	tracker.byUpstream[intent.Upstream] = append(tracker.byUpstream[intent.Upstream], entry)
	return entry
}

// Remove removes an intent, if it is tracked.
func (tracker *Tracker) Remove(id string) {
	entry, ok := tracker.entries[id]
	if !ok {
		return
	}
	delete(tracker.entries, id)
	tracker.sorted = nil
	name := entry.Intent.Upstream
	remaining := slices.DeleteFunc(tracker.byUpstream[name], func(other *Entry) bool { return other == entry })
	tracker.byUpstream[name] = remaining
	if len(remaining) == 0 {
		delete(tracker.byUpstream, name)
	}
}

// Entry returns the entry of the intent, or nil.
func (tracker *Tracker) Entry(id string) *Entry {
	return tracker.entries[id]
}

// Entries returns all entries in order of identifiers. The caller must not change the slice; later
// calls of Add and Remove do not change it either.
func (tracker *Tracker) Entries() []*Entry {
	if tracker.sorted != nil {
		return tracker.sorted
	}
	tracker.sorted = make([]*Entry, 0, len(tracker.entries))
	for _, entry := range tracker.entries {
		tracker.sorted = append(tracker.sorted, entry)
	}
	slices.SortFunc(tracker.sorted, func(a, b *Entry) int { return strings.Compare(a.Intent.ID, b.Intent.ID) })
	return tracker.sorted
}

// Upstreams returns the names of the upstreams with entries, in no particular order.
func (tracker *Tracker) Upstreams() []string {
	names := make([]string, 0, len(tracker.byUpstream))
	for name := range tracker.byUpstream {
		names = append(names, name)
	}
	return names
}

// EntriesOn returns the entries of an upstream. The caller must not change the slice.
func (tracker *Tracker) EntriesOn(name string) []*Entry {
	return tracker.byUpstream[name]
}

// Observe records the view of an engine if it is not older than the recorded one, and reports whether it did.
func (tracker *Tracker) Observe(view View) bool {
	name := view.State.Upstream
	last, known := tracker.views[name]
	if known && view.AsOf.Before(last.AsOf) {
		return false
	}
	if known && view.State.BootID == last.State.BootID && view.State.Sequence < last.State.Sequence {
		return false
	}
	tracker.views[name] = view
	return true
}

// View returns the newest view of an engine, or false if there is none.
func (tracker *Tracker) View(name string) (View, bool) {
	view, ok := tracker.views[name]
	return view, ok
}

// RecordAttempt records that this process begins an attempt to send the order.
func (tracker *Tracker) RecordAttempt(id string, now time.Time) {
	entry := tracker.entries[id]
	if entry == nil {
		return
	}
	entry.Attempts++
	entry.inFlight++
	entry.Sent = now
}

// RecordVerdict records that an attempt ended with a verdict of the engine.
func (tracker *Tracker) RecordVerdict(id string, verdict upstream.Verdict, now time.Time) {
	entry := tracker.entries[id]
	if entry == nil {
		return
	}
	entry.Verdict = verdict
	entry.mayHaveReached = true
	tracker.finishAttempt(entry, now)
}

// RecordNotSent records that an attempt ended before any byte reached the engine.
func (tracker *Tracker) RecordNotSent(id string, now time.Time) {
	if entry := tracker.entries[id]; entry != nil {
		tracker.finishAttempt(entry, now)
	}
}

// RecordNoResponse records that an attempt ended without a response. The engine may still execute the order
// within the order lifetime.
func (tracker *Tracker) RecordNoResponse(id string, now time.Time) {
	if entry := tracker.entries[id]; entry != nil {
		entry.mayHaveReached = true
		tracker.finishAttempt(entry, now.Add(tracker.orderLifetime))
	}
}

func (tracker *Tracker) finishAttempt(entry *Entry, until time.Time) {
	entry.inFlight--
	if until.After(entry.effectiveUntil) {
		entry.effectiveUntil = until
	}
}

// Abandon records that this process sends no further attempt of the intent.
func (tracker *Tracker) Abandon(id string) {
	if entry := tracker.entries[id]; entry != nil {
		entry.abandoned = true
	}
}

// MarkSenderEnded records that another process sends no more orders.
func (tracker *Tracker) MarkSenderEnded(sender Sender, now time.Time) {
	for _, entry := range tracker.entries {
		if entry.Intent.Sender == sender && entry.senderEnded.IsZero() {
			entry.senderEnded = now
		}
	}
	for _, budget := range tracker.budgets {
		if budget.Sender == sender && budget.senderEnded.IsZero() {
			budget.senderEnded = now
		}
	}
}

// IsInFlight reports whether an attempt of this process has not ended.
func (entry *Entry) IsInFlight() bool {
	return entry.inFlight > 0
}

// MayHaveReached reports whether a byte of an attempt of this process may have reached the engine.
func (entry *Entry) MayHaveReached() bool {
	return entry.mayHaveReached || entry.inFlight > 0
}

// IsAbandoned reports whether this process sends no further attempt.
func (entry *Entry) IsAbandoned() bool {
	return entry.abandoned
}

// OtherSenders returns each process other than this one that may still send an order.
func (tracker *Tracker) OtherSenders() []Sender {
	var senders []Sender
	add := func(sender Sender, ended time.Time) {
		if sender != tracker.self && ended.IsZero() && !slices.Contains(senders, sender) {
			senders = append(senders, sender)
		}
	}
	for _, entry := range tracker.Entries() {
		add(entry.Intent.Sender, entry.senderEnded)
	}
	for _, budget := range tracker.budgets {
		add(budget.Sender, budget.senderEnded)
	}
	return senders
}
