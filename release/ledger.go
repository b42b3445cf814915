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

// SnapshotEvery is the number of notes from one snapshot of the whole catalogue to the next.
const SnapshotEvery = 32

// Ledger accepts notes and reads their history. It is stateless and safe for concurrent use.
type Ledger struct {
	reader
	clock clock.Clock
}

// NewLedger returns a ledger that stores its rows and objects in the platform.
func NewLedger(tables datastore.Tables, objects datastore.Objects, clock clock.Clock) *Ledger {
	return &Ledger{reader: reader{tables: tables, objects: objects}, clock: clock}
}

// Head returns the entry in force. Its Number is zero before the first note. It fails with PlatformUnavailable or
// Internal.
func (ledger *Ledger) Head(ctx context.Context) (Entry, error) {
	head, _, err := ledger.head(ctx)
	if err != nil {
		return Entry{}, readOutcome(err)
	}
	return head, nil
}

// Entry returns the entry of a number. It fails with PlatformUnavailable, or with Internal if there is no such entry.
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

// At returns the state at a number. It fails with PlatformUnavailable, or with Internal if the number is above the one
// in force.
func (ledger *Ledger) At(ctx context.Context, number uint64) (InForce, error) {
	state, err := ledger.stateAt(ctx, number)
	if err != nil {
		return InForce{}, readOutcome(err)
	}
	return state, nil
}

// History returns the newest entries, the oldest of them first. The limit is clamped to 1 to 100. It fails with
// PlatformUnavailable or Internal.
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

// readOutcome converts the error of a read into an outcome error.
func readOutcome(err error) error {
	if errors.Is(err, datastore.ErrUnavailable) {
		return outcome.New(outcome.PlatformUnavailable, "the notes cannot be read").WithCause(err)
	}
	return outcome.New(outcome.Internal, "the notes cannot be read").WithCause(trace.Wrap(err))
}

// sleep waits for the delay, or returns the error of the context if that ends earlier.
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
