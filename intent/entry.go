package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Status tells what an intent counts for.
type Status int

// The statuses of intents.
const (
	// Open is an intent whose order can still take effect; it is counted and charged.
	Open Status = iota
	// Shown is an intent whose replica the engine shows; it is counted and charged.
	Present
	// Gone is an intent that can take no effect any more; its row may be removed.
	Closed
)

// Entry is what this process knows of one intent.
type Entry struct {
	// Intent is the row.
	Intent Intent
	// Recorded states that the row is in the table service.
	Recorded bool
	// Verdict is the last answer to an attempt of this process, or empty.
	Verdict upstream.Verdict
	// Attempts counts the attempts of this process.
	Attempts int
	// Sent is the time of the last attempt of this process.
	Sent time.Time
	// Ready is the time at which the replica was first seen ready, or zero.
	Ready time.Time
	// since is a time at which the intent was already decided.
	since time.Time
	// open is the number of attempts of this process without an end.
	open int
	// ended is the time from which the finished attempts of this process take no effect any more.
	ended time.Time
	// senderGone is the time from which a foreign sender sends no more, or zero.
	senderGone time.Time
	// reached states that a byte of an attempt of this process may have reached the engine.
	reached bool
	// abandoned states that this process sends no further attempt.
	abandoned bool
}

// Key names the replica on an upstream that the intent stands for.
func (entry *Entry) Key() ReplicaKey {
	return entry.Intent.Key()
}

// ReplicaKey names the only replica of one model and version that an upstream can hold.
type ReplicaKey struct {
	// Upstream is the name of the engine's VM.
	Upstream string
	// Model and Version name the weights.
	Model, Version string
}
