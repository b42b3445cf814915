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
}

// shouldMigrate reports whether the stream should migrate now.
func (transaction *transaction) shouldMigrate(reservation *reservation) bool {
	state := &transaction.leavingWatch
	now := transaction.dispatcher.clock.Now()
	if state.cannotMigrate || now.Sub(state.lastCheck) < leavingCheckInterval {
		return false
	}
	state.lastCheck = now
	if !transaction.dispatcher.leaving(reservation) {
		state.since = time.Time{}
		return false
	}
	if state.since.IsZero() {
		state.since = now
	}
	return now.Sub(state.since) >= migrateAfter && transaction.dispatcher.hasAlternative(reservation)
}

// leaving reports whether the reserved upstream is leaving.
func (dispatcher *Dispatcher) leaving(reservation *reservation) bool {
	snapshot, err := reservation.workload.lookup()
	if err != nil {
		return false
	}
	found, ok := snapshot.find(reservation.candidate.Upstream)
	return ok && found.Leaving
}

// hasAlternative reports whether another upstream can serve the workload.
func (dispatcher *Dispatcher) hasAlternative(reservation *reservation) bool {
	snapshot, err := reservation.workload.lookup()
	return err == nil && dispatcher.canServe(snapshot)
}

// export ends the generation on its upstream and keeps its state for the next one. If that fails, the stream
// stays.
func (transaction *transaction) export(ctx context.Context, reservation *reservation) bool {
	from, _ := transaction.dispatcher.deps.Engines.Generator(reservation.candidate.Upstream)
	mover, ok := from.(Migrator)
	if !ok {
		transaction.leavingWatch.cannotMigrate = true
		return false
	}
	blob, err := mover.Export(ctx, transaction.req.ID)
	if err != nil {
		transaction.leavingWatch.cannotMigrate = true
		return false
	}
	event.StreamMoved.Log("Request", transaction.req.ID, "From", reservation.candidate.Upstream, "After", transaction.last, "Bytes", len(blob))
	transaction.mayHaveRun = true
	transaction.uncertainFailure = outcome.New(outcome.UpstreamLost, "the stream found no upstream to go on at")
	transaction.exported = blob
	transaction.leavingWatch = leavingWatch{}
	return true
}

// importExported imports the exported generation, if any, into the next upstream.
func (transaction *transaction) importExported(ctx context.Context, to upstream.Generator) error {
	if transaction.exported == nil {
		return nil
	}
	blob := transaction.exported
	transaction.exported = nil
	mover, ok := to.(Migrator)
	if !ok {
		return outcome.New(outcome.UpstreamLost, "the stream could not go on at another upstream")
	}
	if err := mover.Import(ctx, transaction.req.ID, blob); err != nil {
		return outcome.New(outcome.UpstreamLost, "the stream could not go on at another upstream").WithCause(err)
	}
	return nil
}
