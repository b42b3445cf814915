package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

const (
	// leavingCheckInterval is how often a running stream checks whether its upstream is leaving.
	leavingCheckInterval = time.Second
	// migrateAfter is how long a stream continues on a leaving upstream; most streams end within it.
	migrateAfter = 5 * time.Second
)

// errMigrate ends the relay of a stream that continues on another upstream.
var errMigrate = errors.New("upstream is leaving and the stream migrates")

// leavingWatch tracks whether the upstream of a running stream is leaving.
type leavingWatch struct {
	// lastCheck is the time of the last check.
	lastCheck time.Time
	// since is when the upstream was first seen leaving, or zero.
	since time.Time
	// cannotMigrate states that the stream stays on its upstream.
	cannotMigrate bool
	// destination is sought while the upstream leaves; it is nil before.
	destination *destination
}

// migrate exports the stream from an upstream that leaves, once another one has a slot for it. It reports whether
// it did; until then the stream stays.
func (transaction *transaction) migrate(leg *leg) bool {
	watch := &transaction.leavingWatch
	now := transaction.dispatcher.clock.Now()
	if watch.cannotMigrate || now.Sub(watch.lastCheck) < leavingCheckInterval {
		return false
	}
	watch.lastCheck = now
	if !transaction.dispatcher.leaving(leg.reservation) {
		watch.since = time.Time{}
		transaction.endMigration()
		return false
	}
	if watch.since.IsZero() {
		watch.since = now
	}
	if now.Sub(watch.since) < migrateAfter {
		return false
	}
	reserved := transaction.seekDestination(leg)
	return reserved != nil && transaction.export(leg, reserved)
}

// export ends the generation on its upstream and keeps its state for the reserved one. If that fails, the stream
// stays.
func (transaction *transaction) export(leg *leg, reserved *reservation) bool {
	from, _ := transaction.dispatcher.deps.Engines.Generator(leg.name())
	mover, ok := from.(Migrator)
	if !ok {
		return transaction.stay(reserved)
	}
	blob, err := mover.Export(leg.ctx, transaction.req.ID)
	if err != nil {
		return transaction.stay(reserved)
	}
	event.StreamMoved.Log("Request", transaction.req.ID, "From", leg.name(), "After", transaction.last, "Bytes", len(blob))
	transaction.mayHaveRun = true
	transaction.uncertainFailure = outcome.New(outcome.UpstreamLost, "the stream found no upstream to go on at")
	transaction.exported, transaction.reserved = blob, reserved
	transaction.leavingWatch = leavingWatch{}
	return true
}

// stay gives back the slot of a stream that cannot migrate. It returns false.
func (transaction *transaction) stay(reserved *reservation) bool {
	transaction.dispatcher.release(reserved, false)
	transaction.leavingWatch.cannotMigrate = true
	return false
}

// importExported imports the exported generation, if any, into the next upstream. The generation is kept until an
// upstream has accepted it.
func (transaction *transaction) importExported(ctx context.Context, to upstream.Generator) error {
	if transaction.exported == nil {
		return nil
	}
	mover, ok := to.(Migrator)
	if !ok {
		return outcome.New(outcome.UpstreamLost, "the stream could not go on at another upstream")
	}
	err := mover.Import(ctx, transaction.req.ID, transaction.exported)
	if err == nil || errors.Is(err, upstream.ErrNotSent) {
		return err
	}
	return outcome.New(outcome.UpstreamLost, "the stream could not go on at another upstream").WithCause(err)
}
