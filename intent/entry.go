package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Status is the state of an intent.
type Status int

// The statuses of intents.
const (
	// Open is an intent whose order can still take effect; it is charged.
	Open Status = iota
	// Present is an intent whose replica is in the newest state of the engine; it is charged.
	Present
	// Closed is an intent whose order can no longer take effect; its row may be removed.
	Closed
)

// Entry is an intent and the state of its order as known to this process.
type Entry struct {
	// Intent is the row.
	Intent Intent
	// Recorded states that the row is in the table service.
	Recorded bool
	// Verdict is the engine's last verdict on an attempt of this process, or empty.
	Verdict upstream.Verdict
	// Attempts counts the attempts of this process.
	Attempts int
	// Sent is the time of the last attempt of this process.
	Sent time.Time
	// Ready is the time at which the replica was first observed ready, or zero.
	Ready time.Time
	// since is a time at which the intent was already decided.
	since time.Time
	// inFlight is the number of attempts of this process that have not ended.
	inFlight int
	// effectiveUntil is the time after which the finished attempts of this process can no longer take effect.
	effectiveUntil time.Time
	// senderEnded is a time from which another process as the sender sends no more orders, or zero.
	senderEnded time.Time
	// mayHaveReached states that a byte of an attempt of this process may have reached the engine.
	mayHaveReached bool
	// abandoned states that this process sends no further attempt.
	abandoned bool
}

// Key returns the key of the replica that the intent is for.
func (entry *Entry) Key() ReplicaKey {
	return entry.Intent.Key()
}

// ReplicaKey identifies a replica: an upstream holds at most one of each model and version.
type ReplicaKey struct {
	// Upstream is the name of the engine's VM.
	Upstream string
	// Model and Version name the weights.
	Model, Version string
}
