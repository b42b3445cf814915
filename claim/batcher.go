package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
)

// batcher commits changes in batches: those that arrive while one transaction runs share the next.
// It is safe for concurrent use.
type batcher struct {
	tables datastore.Tables
	clock  clock.PassiveClock
	// timeout bounds a transaction including its retries and the reads that verify it.
	timeout time.Duration

	mutex sync.Mutex
	// pending holds at most maxPending changes, in order of arrival.
	pending []*change
	// running states that a goroutine is committing.
	running bool
	// failedAt is the time at which the last transaction failed other than by a conflict, or zero if it did not.
	failedAt time.Time
	// idle is closed when nothing is pending or running.
	idle chan struct{}
}

// newBatcher returns a batcher without changes.
func newBatcher(tables datastore.Tables, clock clock.PassiveClock, timeout time.Duration) *batcher {
	idle := make(chan struct{})
	close(idle)
	return &batcher{tables: tables, clock: clock, timeout: timeout, idle: idle}
}

// probeInterval is the time after a failed transaction before a new claim tries the table service again.
const probeInterval = 500 * time.Millisecond

// outageReadTimeout bounds the read of an earlier response while transactions fail. A successful read
// takes a small part of it.
const outageReadTimeout = 250 * time.Millisecond

// isUnavailable reports whether a new claim would only wait for a table service that is known not to respond:
// the last transaction failed other than by a conflict, and another one is running or probeInterval has not passed.
func (batcher *batcher) isUnavailable() bool {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	if batcher.failedAt.IsZero() {
		return false
	}
	return batcher.running || batcher.clock.Since(batcher.failedAt) < probeInterval
}

// recordResult records whether the last transaction failed other than by a conflict.
func (batcher *batcher) recordResult(err error) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	batcher.failedAt = time.Time{}
	if err != nil && !errors.Is(err, datastore.ErrConflict) {
		batcher.failedAt = batcher.clock.Now()
	}
}

// add queues the change. Its result is sent on change.done, at once with ErrUnavailable if maxPending are queued.
func (batcher *batcher) add(change *change) {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	if len(batcher.pending) >= maxPending {
		change.done <- commitResult{err: datastore.ErrUnavailable}
		return
	}
	batcher.pending = append(batcher.pending, change)
	if !batcher.running {
		batcher.running = true
		batcher.idle = make(chan struct{})
		go batcher.run()
	}
}

// wait returns once nothing is pending or running, or the context ends.
func (batcher *batcher) wait(ctx context.Context) {
	batcher.mutex.Lock()
	idle := batcher.idle
	batcher.mutex.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// run commits batches until nothing is pending.
func (batcher *batcher) run() {
	for {
		nextBatch := batcher.nextBatch()
		if len(nextBatch) == 0 {
			return
		}
		batcher.commit(nextBatch)
	}
}

// nextBatch removes the changes of the next transaction from the queue, no two of them for the same row.
func (batcher *batcher) nextBatch() []*change {
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	included := map[datastore.Key]bool{}
	size := 0
	var nextBatch, remaining []*change
	for _, change := range batcher.pending {
		if included[change.row()] || len(nextBatch) >= maxBatchChanges || (size > 0 && size+change.size() > maxBatchBytes) {
			remaining = append(remaining, change)
			continue
		}
		included[change.row()] = true
		size += change.size()
		nextBatch = append(nextBatch, change)
	}
	batcher.pending = remaining
	if len(nextBatch) == 0 {
		batcher.running = false
		close(batcher.idle)
	}
	return nextBatch
}

// commit commits the changes in one transaction. If one of them conflicts, it commits each half separately.
func (batcher *batcher) commit(changes []*change) {
	versions, err := batcher.commitVerified(changes)
	batcher.recordResult(err)
	if errors.Is(err, datastore.ErrConflict) && len(changes) > 1 {
		half := len(changes) / 2
		batcher.commit(changes[:half])
		batcher.commit(changes[half:])
		return
	}
	index := 0
	for _, change := range changes {
		result := commitResult{err: err}
		if index < len(versions) {
			result.version = versions[index]
		}
		index += len(change.writes)
		change.done <- result
	}
}

// commitVerified commits the changes. If the result is unclear it reads the row of the first change back, which
// decides for all, since a transaction is atomic; it then returns no versions.
func (batcher *batcher) commitVerified(changes []*change) ([]datastore.Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), batcher.timeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		versions, err := batcher.commitOnce(ctx, changes)
		if !errors.Is(err, datastore.ErrUnclear) {
			return versions, err
		}
		applied, err := batcher.applied(ctx, changes[0])
		if err != nil {
			return nil, datastore.ErrUnclear
		}
		if applied {
			return nil, nil
		}
		if attempt == maxAttempts {
			return nil, datastore.ErrUnclear
		}
	}
}

// commitOnce sends the transaction once.
func (batcher *batcher) commitOnce(ctx context.Context, changes []*change) ([]datastore.Version, error) {
	var writes []datastore.Write
	for _, change := range changes {
		writes = append(writes, change.writes...)
	}
	return batcher.tables.Commit(ctx, writes)
}

// applied reads the row of the change back and reports whether the change took effect.
func (batcher *batcher) applied(ctx context.Context, change *change) (bool, error) {
	row, err := batcher.tables.Read(ctx, change.row())
	if errors.Is(err, datastore.ErrNotFound) {
		return change.applied(row, false), nil
	}
	if err != nil {
		return false, err
	}
	return change.applied(row, true), nil
}
