// Package invariant asserts invariants inside the program.
//
// A broken invariant logs a numbered event and is counted. The program goes
// on, since a daemon that stops takes a large share of a small deployment
// with it. Tests read the count and fail.
package invariant

import (
	"sync/atomic"

	"github.com/bronzestall/bronzestall/event"
)

// Name names one invariant.
type Name string

// The closed list of invariants.
const (
	// ReplicasDecided states that no more replicas are loaded than were decided.
	ReplicasDecided Name = "replicas loaded at most decided"
	// MemoryCharged states that the charged memory is at most the capacity of the upstream.
	MemoryCharged Name = "memory charged at most capacity"
	// EndsOnce states that each request ends exactly once.
	EndsOnce Name = "request ends exactly once"
	// NotRunNeverSent states that a request refused as not run was never sent.
	NotRunNeverSent Name = "outcome word true"
	// RunsOnce states that each claim runs at most once.
	RunsOnce Name = "claim runs at most once"
	// InForceRises states that the number in force never falls.
	InForceRises Name = "number in force never falls"
	// NoWorkToLeaving states that a leaving upstream gets no new work after its bound.
	NoWorkToLeaving Name = "no new work to a leaving upstream"
)

var broken atomic.Int64

// Check counts and logs the invariant if holds is false, and returns holds.
func Check(holds bool, name Name, fields ...any) bool {
	if holds {
		return true
	}
	broken.Add(1)
	event.InvariantBroken.Log(append([]any{"Invariant", string(name)}, fields...)...)
	return false
}

// Violations returns how often an invariant was broken since the program started.
func Violations() int64 {
	return broken.Load()
}
