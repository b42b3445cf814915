package permit

import "time"

// Grant is the number of adapter transfers that a daemon may have in flight.
type Grant struct {
	// Sequence increases with every grant to one daemon.
	Sequence uint64
	// Transfers is the number of transfers that may be in flight.
	Transfers int
	// Lasts is how long the grant is valid from its arrival.
	Lasts time.Duration
}

// Report is the use that a daemon makes of its grant. It is repeated while the daemon uses adapters.
type Report struct {
	// Sequence is the sequence of the newest grant that the daemon has applied, or zero.
	Sequence uint64
	// InFlight is the number of transfers in flight.
	InFlight int
	// Waiting is the number of transfers that wait.
	Waiting int
}

// Allocator divides the adapter transfers of one data centre among its daemons. It does no I/O and
// is not safe for concurrent use.
//
// A grant expires, although a transfer may outlast it. That is acceptable: a transfer takes milliseconds, a grant
// is valid for seconds, and an excess transfer only slows others down.
type Allocator struct {
	lasts   time.Duration
	daemons map[string]*grantState
}

// grantState is what the allocator knows of the grants of one daemon.
type grantState struct {
	sequence uint64
	// transfers is the newest grant; reserved is the largest grant that the daemon may still use.
	transfers, reserved int
	expires             time.Time
}

// NewAllocator returns an allocator whose grants are valid for the duration.
func NewAllocator(lasts time.Duration) *Allocator {
	return &Allocator{lasts: lasts, daemons: map[string]*grantState{}}
}

// Update applies a report and returns a new grant out of the total of the data centre. The sum
// of the grants that daemons may still use is at most the total, unless the total was reduced.
func (allocator *Allocator) Update(daemon string, report Report, total int, now time.Time) Grant {
	allocator.expire(now)
	state := allocator.daemons[daemon]
	if state == nil {
		state = &grantState{}
		allocator.daemons[daemon] = state
	}
	if report.Sequence == state.sequence {
		state.reserved = state.transfers
	}
	demand := report.InFlight + report.Waiting
	fairShare := max(1, total/len(allocator.daemons))
	available := total - allocator.reservedByOthers(daemon)
	next := max(0, min(demand, available))
	if allocator.contended(daemon, total) {
		next = min(next, fairShare)
	}
	state.sequence++
	state.transfers = next
	state.reserved = max(state.reserved, next)
	state.expires = now.Add(2 * allocator.lasts)
	return Grant{Sequence: state.sequence, Transfers: next, Lasts: allocator.lasts}
}

// Remove removes a daemon that has provably ended, which frees its grant at once.
func (allocator *Allocator) Remove(daemon string) {
	delete(allocator.daemons, daemon)
}

func (allocator *Allocator) expire(now time.Time) {
	for name, state := range allocator.daemons {
		if now.After(state.expires) {
			delete(allocator.daemons, name)
		}
	}
}

func (allocator *Allocator) reservedByOthers(daemon string) int {
	sum := 0
	for name, state := range allocator.daemons {
		if name != daemon {
			sum += state.reserved
		}
	}
	return sum
}

// contended reports whether more than half of the total is reserved for other daemons.
func (allocator *Allocator) contended(daemon string, total int) bool {
	return 2*allocator.reservedByOthers(daemon) > total
}
