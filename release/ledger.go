package release

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/outcome"
)

// SnapshotEvery is the number of notes between two snapshots of the whole catalogue.
const SnapshotEvery = 32

// Ledger accepts notes and reads their history. It keeps no state and is safe for concurrent use.
type Ledger struct {
	reader
	clock clock.Clock
}

// NewLedger returns a ledger over the platform.
func NewLedger(tables datastore.Tables, objects datastore.Objects, clock clock.Clock) *Ledger {
	return &Ledger{reader: reader{tables: tables, objects: objects}, clock: clock}
}

// Head returns the entry in force; before the first note its Number is zero. It fails with PlatformUnavailable or Internal.
func (ledger *Ledger) Head(ctx context.Context) (Entry, error) {
	head, _, err := ledger.head(ctx)
	if err != nil {
		return Entry{}, readOutcome(err)
	}
	return head, nil
}

// Entry returns the entry of a number. It fails with PlatformUnavailable or Internal.
func (ledger *Ledger) Entry(ctx context.Context, number uint64) (Entry, error) {
	entry, err := ledger.entryAt(ctx, historyKey(number))
	if err != nil {
		return Entry{}, readOutcome(err)
	}
	return entry, nil
}

// InForce returns the state in force. It fails with PlatformUnavailable or Internal.
func (ledger *Ledger) InForce(ctx context.Context) (InForce, error) {
	head, _, err := ledger.head(ctx)
	if err != nil {
		return InForce{}, readOutcome(err)
	}
	state, _, err := ledger.advance(ctx, InForce{}, head)
	if err != nil {
		return InForce{}, readOutcome(err)
	}
	return state, nil
}

// At returns the state at a number, which must not be above the one in force.
func (ledger *Ledger) At(ctx context.Context, number uint64) (InForce, error) {
	state, err := ledger.stateAt(ctx, number)
	if err != nil {
		return InForce{}, readOutcome(err)
	}
	return state, nil
}

// History returns at most limit entries up to the one in force, the oldest first. Limit is at most 100.
func (ledger *Ledger) History(ctx context.Context, limit int) ([]Entry, error) {
	head, _, err := ledger.head(ctx)
	if err != nil {
		return nil, readOutcome(err)
	}
	after := head.Number - min(head.Number, uint64(max(1, min(limit, maxScanRows))))
	if after == head.Number {
		return nil, nil
	}
	entries, err := ledger.entriesBetween(ctx, after, head.Number)
	if err != nil {
		return nil, readOutcome(err)
	}
	return entries, nil
}

// readOutcome returns the error of a call that only reads.
func readOutcome(err error) error {
	if errors.Is(err, datastore.ErrUnavailable) {
		return outcome.New(outcome.PlatformUnavailable, "the notes cannot be read").WithCause(err)
	}
	return outcome.New(outcome.Internal, "the notes cannot be read").WithCause(trace.Wrap(err))
}

// sleep lets the delay pass, or returns the error of the context.
func sleep(ctx context.Context, clock clock.Clock, delay time.Duration) error {
	timer := clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
