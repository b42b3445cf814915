package permit

import "time"

// Grant is the number of adapter transfers that a daemon may have in flight.
type Grant struct {
	// Sequence rises with every grant to one daemon.
	Sequence uint64
	// Transfers is the number of transfers.
	Transfers int
	// Lasts is how long the grant holds from its arrival.
	Lasts time.Duration
}

// Report is what a daemon says of its grant. It is repeated while the daemon uses adapters.
type Report struct {
	// Sequence is the newest grant that the daemon has taken up, or zero.
	Sequence uint64
	// InFlight is the number of transfers in flight.
	InFlight int
	// Waiting is the number of transfers that wait.
	Waiting int
}

// Grants divides the adapter transfers of one data centre among its daemons. It is pure and
// belongs to one goroutine.
//
// A grant lapses by time. That is safe enough here: a transfer takes milliseconds, a grant
// lasts seconds, and a transfer too many makes others slower and breaks nothing.
type Allocator struct {
	lasts   time.Duration
	daemons map[string]*granted
}

// granted is what one daemon may believe to hold.
type granted struct {
	sequence uint64
	// transfers is the newest grant and counted the largest grant not yet known to be replaced.
	transfers, counted int
	until              time.Time
}

// NewGrants returns grants that each last for the duration.
func NewAllocator(lasts time.Duration) *Allocator {
	return &Allocator{lasts: lasts, daemons: map[string]*granted{}}
}

// Update takes a report and returns the new grant out of the total of the data centre. The sum
// of what daemons may believe to hold is at most the total, unless the total has just shrunk.
func (grants *Allocator) Update(daemon string, report Report, total int, now time.Time) Grant {
	grants.expire(now)
	held := grants.daemons[daemon]
	if held == nil {
		held = &granted{}
		grants.daemons[daemon] = held
	}
	if report.Sequence == held.sequence {
		held.counted = held.transfers
	}
	want := report.InFlight + report.Waiting
	fair := max(1, total/len(grants.daemons))
	free := total - grants.others(daemon)
	next := max(0, min(want, free))
	if grants.contended(daemon, total) {
		next = min(next, fair)
	}
	held.sequence++
	held.transfers = next
	held.counted = max(held.counted, next)
	held.until = now.Add(2 * grants.lasts)
	return Grant{Sequence: held.sequence, Transfers: next, Lasts: grants.lasts}
}

// Gone forgets a daemon that is provably gone.
func (grants *Allocator) Remove(daemon string) {
	delete(grants.daemons, daemon)
}

func (grants *Allocator) expire(now time.Time) {
	for name, held := range grants.daemons {
		if now.After(held.until) {
			delete(grants.daemons, name)
		}
	}
}

func (grants *Allocator) others(daemon string) int {
	sum := 0
	for name, held := range grants.daemons {
		if name != daemon {
			sum += held.counted
		}
	}
	return sum
}

// contended reports whether the other daemons hold more than half of the total.
func (grants *Allocator) contended(daemon string, total int) bool {
	return 2*grants.others(daemon) > total
}
