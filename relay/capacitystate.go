package relay

import (
	"maps"
	"time"

	"github.com/bronzestall/bronzestall/demand"
)

// RefusalCause tells why a request was refused for want of capacity, for metrics.
type RefusalCause string

// The causes of refusals.
const (
	// RefusedAtOnce means that the request would not have been served in time.
	RefusedAtOnce RefusalCause = "AtOnce"
	// RefusedAfterWait means that the request waited, and was not served in time.
	RefusedAfterWait RefusalCause = "AfterWait"
)

// CapacityState is the state of the requests of a daemon that wait for capacity.
type CapacityState struct {
	// Waiting is the number of waiting requests by priority.
	Waiting [demand.Priorities]int
	// Refused is the number of refusals so far by cause.
	Refused map[RefusalCause]int
	// Waits is the number of waits so far, and Waited their sum.
	Waits  int64
	Waited time.Duration
}

// Capacity returns the state of the requests that wait for capacity, and drops the queues that are not in use any more. It is to be
// called about every second.
func (relay *Relay) Capacity() CapacityState {
	lines := relay.lines
	relay.ceilings.Prune(relay.deps.Clock.Now())
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	lines.prune(relay.deps.Clock.Now())
	state := CapacityState{Refused: maps.Clone(lines.refused), Waits: lines.waits.Load(), Waited: time.Duration(lines.waited.Load())}
	for _, line := range lines.queues {
		for priority := range state.Waiting {
			state.Waiting[priority] += line.queue.Waiting(priority)
		}
	}
	return state
}
