package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
)

// group commits changes together: those that come while one transaction runs share the next.
// It is safe for concurrent use.
type group struct {
	tables datastore.Tables
	clock  clock.PassiveClock
	// timeout bounds a transaction with the settling of its answer.
	timeout time.Duration

	mutex sync.Mutex
	// pending has at most pendingMost changes, in order.
	pending []*change
	// running states that a goroutine commits.
	running bool
	// failed is when a transaction last ended without a usable answer, or zero after one that had it.
	failed time.Time
	// idle is closed when nothing is pending or running.
	idle chan struct{}
}

// newGroup returns a group without changes.
func newGroup(tables datastore.Tables, clock clock.PassiveClock, timeout time.Duration) *group {
	idle := make(chan struct{})
	close(idle)
	return &group{tables: tables, clock: clock, timeout: timeout, idle: idle}
}

// probeGap is the time after a failed transaction before a new claim tries the table service again.
const probeGap = 500 * time.Millisecond

// awayReadTimeout bounds the look for an earlier answer while transactions have no answer. Reads that
// work take a small part of it.
const awayReadTimeout = 250 * time.Millisecond

// isAway reports whether a new claim would only wait for a table service that is known to give no
// answer: the last transaction had none, and another one runs or that was a moment ago.
func (group *group) isAway() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.failed.IsZero() {
		return false
	}
	return group.running || group.clock.Since(group.failed) < probeGap
}

// note keeps whether the last transaction had a usable answer.
func (group *group) note(err error) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.failed = time.Time{}
	if err != nil && !errors.Is(err, datastore.ErrConflict) {
		group.failed = group.clock.Now()
	}
}

// add queues the change. Its end comes over change.done, at once if too many are pending.
func (group *group) add(change *change) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if len(group.pending) >= pendingMost {
		change.done <- end{err: datastore.ErrUnavailable}
		return
	}
	group.pending = append(group.pending, change)
	if !group.running {
		group.running = true
		group.idle = make(chan struct{})
		go group.run()
	}
}

// wait returns once nothing is pending, or the context ended.
func (group *group) wait(ctx context.Context) {
	group.mutex.Lock()
	idle := group.idle
	group.mutex.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// run commits until nothing is pending.
func (group *group) run() {
	for {
		next := group.next()
		if len(next) == 0 {
			return
		}
		group.commit(next)
	}
}

// next takes the changes of the next transaction, no two for the same row.
func (group *group) next() []*change {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	taken := map[datastore.Key]bool{}
	size := 0
	var next, rest []*change
	for _, change := range group.pending {
		if taken[change.row()] || len(next) >= groupParts || (size > 0 && size+change.size() > groupBytes) {
			rest = append(rest, change)
			continue
		}
		taken[change.row()] = true
		size += change.size()
		next = append(next, change)
	}
	group.pending = rest
	if len(next) == 0 {
		group.running = false
		close(group.idle)
	}
	return next
}

// commit commits the changes together, or in halves if one of them is in conflict.
func (group *group) commit(changes []*change) {
	versions, err := group.settled(changes)
	group.note(err)
	if errors.Is(err, datastore.ErrConflict) && len(changes) > 1 {
		half := len(changes) / 2
		group.commit(changes[:half])
		group.commit(changes[half:])
		return
	}
	part := 0
	for _, change := range changes {
		ending := end{err: err}
		if part < len(versions) {
			ending.version = versions[part]
		}
		part += len(change.writes)
		change.done <- ending
	}
}

// settled commits and settles an unclear answer by reading the first row back: a transaction takes
// effect as a whole. Without versions they have to be read.
func (group *group) settled(changes []*change) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), group.timeout)
	defer cancel()
	for try := 1; ; try++ {
		versions, err := group.send(ctx, changes)
		if !errors.Is(err, datastore.ErrUnclear) {
			return versions, err
		}
		applied, err := group.applied(ctx, changes[0])
		if err != nil {
			return nil, datastore.ErrUnclear
		}
		if applied {
			return nil, nil
		}
		if try == tries {
			return nil, datastore.ErrUnclear
		}
	}
}

// send commits once.
func (group *group) send(ctx context.Context, changes []*change) ([]uint64, error) {
	var writes []datastore.Write
	for _, change := range changes {
		writes = append(writes, change.writes...)
	}
	return group.tables.Commit(ctx, writes)
}

// applied reads the row of the change back.
func (group *group) applied(ctx context.Context, change *change) (bool, error) {
	row, err := group.tables.Read(ctx, change.row())
	if errors.Is(err, datastore.ErrNotFound) {
		return change.applied(row, false), nil
	}
	if err != nil {
		return false, err
	}
	return change.applied(row, true), nil
}
