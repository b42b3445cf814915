package lease

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
)

// Lease is one candidate for the lease of one data centre. Use New. Step, Run and Release must be called from one
// goroutine; the other methods are safe for concurrent use.
type Lease struct {
	tables   Tables
	settings Settings
	clock    clock.Clock
	holder   Holder
	// seen is the lease row as last read by a candidate, and seenAt the time after that version was first read.
	seen   datastore.Row
	seenAt time.Time
	// highestFence is the highest fencing number seen.
	highestFence uint64
	// absentSince is the time since which the row does not exist in the era absentEra; zero while it does.
	absentSince time.Time
	absentEra   uint64
	// requestVersion is the version of the transfer request row, and requestReadAt the time at which a holder in
	// another data centre first read that version.
	requestVersion datastore.Version
	requestReadAt  time.Time
	// requestedAt is the time at which this daemon last requested a transfer.
	requestedAt time.Time
	// unclearSince is the time before the first renewal whose result is unknown, or zero.
	unclearSince time.Time

	mutex sync.Mutex
	// owned reports whether the row named this process when it was last read or written.
	owned bool
	// until is the end of the term. Only a renewal that took effect extends it.
	until time.Time
	// current is the record that this process last wrote and version its version; both are valid while owned is set.
	current      record
	version      datastore.Version
	fenceVersion datastore.Version
	// leader is the holder as last read.
	leader Holder
	// former is the holder before this process acquired the lease; empty if there was none.
	former Holder
	// formerEnded is the time by which the right of the former holder had ended; zero if unknown.
	formerEnded time.Time
}

// New returns a candidate that holds no lease yet.
func New(tables Tables, settings Settings, clock clock.Clock, holder Holder) *Lease {
	return &Lease{tables: tables, settings: settings.withDefaults(), clock: clock, holder: holder}
}

// Held returns the fencing number and the end of the term, and whether the lease is held now.
func (lease *Lease) Held() (fence uint64, until time.Time, ok bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	ok = lease.owned && lease.clock.Now().Before(lease.until)
	return lease.current.Fence, lease.until, ok
}

// Owned returns the fencing number, and whether the lease row named this process when the table service last
// answered. It remains true after the end of the term while the table service is unavailable.
func (lease *Lease) Owned() (fence uint64, ok bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return lease.current.Fence, lease.owned
}

// Guard returns a condition that makes a transaction fail once another process is the holder, and whether this
// process owns the lease.
func (lease *Lease) Guard() (datastore.Write, bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	guard := datastore.Write{Key: lease.fenceKey(), Check: true, Only: true, IfVersion: lease.fenceVersion}
	return guard, lease.owned
}

// Former returns the holder from which this process acquired the lease; it is empty if there was none.
func (lease *Lease) Former() Holder {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return lease.former
}

// FormerEnded returns the time by which the right of the former holder had ended, at most the time of the acquisition; zero if that
// is unknown.
func (lease *Lease) FormerEnded() time.Time {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return lease.formerEnded
}

// Leader returns the holder as last read, and whether one is known.
func (lease *Lease) Leader() (Holder, bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.owned {
		return lease.holder, true
	}
	return lease.leader, lease.leader != Holder{}
}

// Run acquires the lease whenever possible and renews it, until the context ends. It does not release the lease.
func (lease *Lease) Run(ctx context.Context) error {
	for {
		// A failed step changes nothing; the next one reads the row again.
		_ = lease.Step(ctx)
		timer := lease.clock.NewTimer(lease.StepInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		}
	}
}

// Step renews the lease if this process owns it, else tries to acquire it. It makes at most four calls to the table
// service. An error means that the table service gave no usable answer.
func (lease *Lease) Step(ctx context.Context) error {
	if _, owned := lease.Owned(); owned {
		return lease.renew(ctx)
	}
	return lease.tryAcquire(ctx)
}

// StepInterval returns the time to wait before the next call of Step.
func (lease *Lease) StepInterval() time.Duration {
	if _, owned := lease.Owned(); owned {
		return lease.settings.RenewEvery
	}
	if lease.heldByRemote() {
		return lease.settings.RenewEvery / pollDivisor
	}
	interval := lease.settings.RenewEvery * time.Duration(1+lease.settings.Rank())
	return min(interval, maxPollTerms*lease.settings.Term)
}

// heldByRemote reports whether a daemon of another data centre holds the lease of this daemon's own data centre.
func (lease *Lease) heldByRemote() bool {
	leader, known := lease.Leader()
	return known && !lease.remote(lease.holder) && lease.remote(leader)
}

// remote reports whether the holder is in another data centre than the one that the lease is for.
func (lease *Lease) remote(holder Holder) bool {
	return holder.DataCentre != lease.settings.DataCentre
}

func (lease *Lease) key() datastore.Key {
	return datastore.Key{Table: Table, Row: lease.settings.DataCentre}
}

func (lease *Lease) fenceKey() datastore.Key {
	return datastore.Key{Table: FenceTable, Row: lease.settings.DataCentre}
}

func (lease *Lease) transferRequestKey() datastore.Key {
	return datastore.Key{Table: TransferRequestTable, Row: lease.settings.DataCentre}
}
