// Package invariant checks invariants at run time.
//
// A violation is logged as a numbered event and counted. The program continues,
// because a daemon that stops would take a large share of a small deployment
// out of service. Tests read the count and fail.
package invariant

import (
	"sync/atomic"

	"github.com/bronzestall/bronzestall/event"
)

// Name identifies an invariant. It is logged with each violation.
type Name string

// The invariants that the program checks.
const (
	// ReplicasDecided states that at most the decided number of replicas is loaded.
	ReplicasDecided Name = "replicas loaded at most decided"
	// MemoryCharged states that the charged memory is at most the capacity of the upstream.
	MemoryCharged Name = "memory charged at most capacity"
	// EndsOnce states that each request ends exactly once.
	EndsOnce Name = "request ends exactly once"
	// NotRunNeverSent states that a request refused with the outcome "not run" was never sent.
	NotRunNeverSent Name = "request refused as not run never sent"
	// RunsOnce states that each claim runs at most once.
	RunsOnce Name = "claim runs at most once"
	// InForceRises states that the number in force never decreases.
	InForceRises Name = "number in force never falls"
	// NoWorkToLeaving states that a leaving upstream receives no new work after its time limit.
	NoWorkToLeaving Name = "no new work to a leaving upstream"
)

var violations atomic.Int64

// Check counts and logs a violation with the fields if holds is false. It returns holds.
func Check(holds bool, name Name, fields ...any) bool {
	if holds {
		return true
	}
	violations.Add(1)
	event.InvariantBroken.Log(append([]any{"Invariant", string(name)}, fields...)...)
	return false
}

// Violations returns the number of violations since the program started.
func Violations() int64 {
	return violations.Load()
}
