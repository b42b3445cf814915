package admission

import (
	"cmp"
	"time"
)

// Entry is one waiting request. Its exported fields must not change while it waits. Use NewEntry.
type Entry struct {
	// Priority is that of the request; zero is the most urgent.
	Priority int
	// Returned states that the request was sent or refused before, and goes before new ones of its priority.
	Returned bool
	// StartBy is when the request must be sent to earn its full credit.
	StartBy time.Time
	// Account is the name of the client account, or empty, and Share its weight among the accounts; zero means 1.
	Account string
	Share   float64
	// Tokens is the length of the prompt in tokens.
	Tokens int
	// Arrived is when the request arrived.
	Arrived time.Time

	// turn gets a value when the request may try.
	turn chan struct{}
	// rank is StartBy put back by what the account is ahead of its share.
	rank time.Time
	// sequence is the number of the entry in the queue, from one; zero if it is in none.
	sequence uint64
	// late is set once StartBy has passed.
	late bool
	// overtaken counts the requests that started while this one was the first of the queue, and aloneUntil is until when it alone
	// tries, since they were too many.
	overtaken  int
	aloneUntil time.Time
}

// NewEntry returns a copy of the entry that can be pushed.
func NewEntry(entry Entry) *Entry {
	entry.turn = make(chan struct{}, 1)
	return &entry
}

// Turn returns a channel that yields a value when the request may try to find a replica.
func (entry *Entry) Turn() <-chan struct{} {
	return entry.turn
}

// overtake records that another request started while the entry was the first.
func (entry *Entry) overtake(now time.Time) {
	entry.overtaken++
	if entry.overtaken >= maxOvertaken {
		entry.overtaken, entry.aloneUntil = 0, now.Add(aloneTime)
	}
}

// triesAlone reports whether the entry, which is the first, may not be overtaken now.
func (entry *Entry) triesAlone(now time.Time) bool {
	return now.Before(entry.aloneUntil)
}

// compareEntries orders the entries of one priority.
func compareEntries(a, b *Entry) int {
	if a.Returned != b.Returned {
		if a.Returned {
			return -1
		}
		return 1
	}
	return cmp.Or(a.rank.Compare(b.rank), a.Arrived.Compare(b.Arrived), cmp.Compare(a.sequence, b.sequence))
}
