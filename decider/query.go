package decider

import (
	"context"

	"github.com/bronzestall/bronzestall/intent"
)

// queryEngines queries the state of each engine once, after the rows of former holders were
// read. The states that the fleet holds at that time are older or relayed, and prove nothing
// about those rows.
func (term *term) queryEngines(ctx context.Context) {
	if term.queried || !term.now.After(term.recoveredAt) {
		return
	}
	term.queried = true
	for _, view := range term.decider.deps.Fleet.Views() {
		// An engine whose state was never received has a view that does not show which
		// checks the engine makes.
		if !view.AsOf.IsZero() {
			term.decider.query(ctx, term.fence, view)
		}
	}
}

// query requests the state of an engine on a separate goroutine. It does nothing if the address
// of the engine is unknown or maxInFlight calls are in flight.
func (decider *Decider) query(ctx context.Context, fence uint64, last intent.View) {
	name := last.State.Upstream
	engine, known := decider.deps.Engines.Engine(name)
	if !known || decider.countInFlight() >= maxInFlight {
		return
	}
	decider.inFlight[fence]++
	decider.attempts.Add(1)
	queriedAt := decider.deps.Clock.Now()
	go func() {
		defer decider.attempts.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), decider.settings.OrderTimeout)
		defer cancel()
		state, err := engine.State(ctx)
		state.Upstream = name
		state.Leaving = state.Leaving || last.State.Leaving
		last.State, last.AsOf = state, queriedAt
		decider.results.TryPut(attemptResult{fence: fence, upstream: name, view: &last, err: err})
	}()
}

// handleView applies the state of an engine that was queried.
func (term *term) handleView(view intent.View) {
	if view.State.Capacity > 0 && term.tracker.Observe(view) {
		term.observeView(view)
	}
}
