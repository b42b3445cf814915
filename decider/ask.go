package decider

import (
	"context"

	"github.com/bronzestall/bronzestall/intent"
)

// askEngines asks each engine once for its state after the rows of predecessors were read. The
// states that the fleet has then are older or relayed, and prove nothing of those rows.
func (reign *reign) askEngines(ctx context.Context) {
	if reign.asked || !reign.now.After(reign.began) {
		return
	}
	reign.asked = true
	for _, view := range reign.decider.deps.Fleet.Views() {
		// The view of an engine that was never heard does not tell what the engine checks.
		if !view.AsOf.IsZero() {
			reign.decider.ask(ctx, reign.fence, view)
		}
	}
}

// ask asks an engine for its state on a goroutine of its own.
func (decider *Decider) ask(ctx context.Context, fence uint64, last intent.View) {
	name := last.State.Upstream
	engine, known := decider.deps.Engines.Engine(name)
	if !known || decider.countOnTheWay() >= ordersAtOnce {
		return
	}
	decider.onTheWay[fence]++
	decider.senders.Add(1)
	asked := decider.deps.Clock.Now()
	go func() {
		defer decider.senders.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), decider.settings.OrderTimeout)
		defer cancel()
		state, err := engine.State(ctx)
		state.Upstream = name
		state.Leaving = state.Leaving || last.State.Leaving
		last.State, last.AsOf = state, asked
		decider.answers.TryPut(answer{fence: fence, upstream: name, view: &last, err: err})
	}()
}

// takeView takes the answer of an engine that was asked.
func (reign *reign) takeView(view intent.View) {
	if view.State.Capacity > 0 && reign.book.Observe(view) {
		reign.observeView(view)
	}
}
