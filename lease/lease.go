package lease

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
)

// Lease is one candidate for the lease of one data centre. Use New.
// Step, Run and Release belong to one goroutine; the other methods are safe for all.
type Lease struct {
	tables   Tables
	settings Settings
	clock    clock.Clock
	holder   Holder
	// seen is the lease row as last read by a candidate and seenAt the time after that version was first read.
	seen   datastore.Row
	seenAt time.Time
	// wishVersion and wishAt tell the version of the wish row and when a foreign holder first read it.
	wishVersion uint64
	wishAt      time.Time
	// wished is the time of the last wish of this daemon.
	wished time.Time
	// unclearSince is the time before the first renewal that has no known result, or zero.
	unclearSince time.Time

	mutex sync.Mutex
	// owned states that the row named this process when it was last read or written.
	owned bool
	// until is the end of the term; it never rises without a renewal that took effect.
	until time.Time
	// current is the record that this process wrote last and version its version; they are valid while owned.
	current      record
	version      uint64
	fenceVersion uint64
	// leader is the holder as last read.
	leader Holder
	// former is the holder before this process took the lease; empty if there was none.
	former Holder
}

// New returns a candidate that holds nothing yet.
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

// Owned returns the fencing number and whether the lease row named this process when the table
// service last answered. It stays true after the term while the table service is away.
func (lease *Lease) Owned() (fence uint64, ok bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return lease.current.Fence, lease.owned
}

// Guard returns the condition that makes a transaction fail once another process became the
// holder, and whether this process owns the lease.
func (lease *Lease) Guard() (datastore.Write, bool) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	guard := datastore.Write{Key: lease.fenceKey(), Check: true, Only: true, IfVersion: lease.fenceVersion}
	return guard, lease.owned
}

// Former returns the holder that this process took the lease from; it is empty if there was none.
func (lease *Lease) Former() Holder {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return lease.former
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

// Run takes the lease whenever it can and keeps it, until the context ends. It does not release it.
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

// Step renews the lease if this process owns it, else looks whether it can be taken. It makes
// at most four calls. An error means that the table service gave no usable answer.
func (lease *Lease) Step(ctx context.Context) error {
	if _, owned := lease.Owned(); owned {
		return lease.renew(ctx)
	}
	return lease.watch(ctx)
}

// StepInterval returns the time until the next step is due.
func (lease *Lease) StepInterval() time.Duration {
	if _, owned := lease.Owned(); owned {
		return lease.settings.RenewEvery
	}
	if lease.wantsBack() {
		return lease.settings.RenewEvery / wishShare
	}
	interval := lease.settings.RenewEvery * time.Duration(1+lease.settings.Rank())
	return min(interval, maxWatchTerms*lease.settings.Term)
}

// wantsBack reports whether a foreign process holds the lease of this daemon's own data centre.
func (lease *Lease) wantsBack() bool {
	leader, known := lease.Leader()
	return known && !lease.foreign(lease.holder) && lease.foreign(leader)
}

func (lease *Lease) foreign(holder Holder) bool {
	return holder.DataCentre != lease.settings.DataCentre
}

func (lease *Lease) key() datastore.Key {
	return datastore.Key{Table: Table, Row: lease.settings.DataCentre}
}

func (lease *Lease) fenceKey() datastore.Key {
	return datastore.Key{Table: FenceTable, Row: lease.settings.DataCentre}
}

func (lease *Lease) wishKey() datastore.Key {
	return datastore.Key{Table: TransferRequestTable, Row: lease.settings.DataCentre}
}
