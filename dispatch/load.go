package dispatch

import (
	"context"
	"fmt"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/upstream"
)

// runLoad loads the adapter under a permit and ends the load. It outlives the request that began it,
// since others may wait for it, and is bounded by the load timeout.
func (dispatcher *Dispatcher) runLoad(ctx context.Context, slot slot, load *load, place *place, id string) {
	ctx, cancel := context.WithTimeout(ctx, dispatcher.settings.AdapterTimeout)
	defer cancel()
	load.err = dispatcher.loadUnderPermit(ctx, slot, place, id)
	if load.err != nil {
		event.AdapterLoadFailed.LogError(load.err, "Upstream", slot.upstream, "Model", slot.model, "Adapter", slot.adapter)
	}
	close(load.ended)
}

// loadUnderPermit sends the order, after making room if the replica has none.
func (dispatcher *Dispatcher) loadUnderPermit(ctx context.Context, slot slot, place *place, id string) error {
	engine, ok := dispatcher.deps.Engines.Engine(slot.upstream)
	if !ok {
		return upstream.ErrNotSent
	}
	if dispatcher.deps.Transfers != nil {
		release, err := dispatcher.deps.Transfers.Acquire(ctx)
		if err != nil {
			return fmt.Errorf("%w: no permit for the adapter: %w", upstream.ErrNotSent, err)
		}
		defer release()
	}
	order := adapterOrder(upstream.LoadAdapter, slot, place, id)
	verdict, err := engine.Send(ctx, order)
	if err == nil && verdict == upstream.NoMemory {
		verdict, err = dispatcher.makeRoom(ctx, engine, order, slot, place)
	}
	if err != nil {
		// The order can be lost, but the request itself was not sent.
		return fmt.Errorf("%w: adapter not loaded: %w", upstream.ErrNotSent, err)
	}
	if verdict != upstream.Accepted {
		return &upstream.RefusedError{Reason: string(verdict)}
	}
	return nil
}

// makeRoom unloads an adapter that this daemon does not use and sends the order again.
func (dispatcher *Dispatcher) makeRoom(ctx context.Context, engine upstream.Engine, order upstream.Order, slot slot, place *place) (upstream.Verdict, error) {
	victim, ok := dispatcher.adapters.victim(slot, place.candidate.Adapters)
	if !ok {
		return upstream.NoMemory, nil
	}
	other := slot
	other.adapter = victim
	if _, err := engine.Send(ctx, adapterOrder(upstream.UnloadAdapter, other, place, order.ID+"/room")); err != nil {
		return "", err
	}
	dispatcher.adapters.forget(other)
	order.ID += "/again"
	return engine.Send(ctx, order)
}

// forget drops what is remembered of a slot.
func (adapters *adapters) forget(slot slot) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	delete(adapters.loads, slot)
}

// adapterOrder returns the order about the slot for the request.
func adapterOrder(verb upstream.Verb, slot slot, place *place, id string) upstream.Order {
	order := upstream.Order{
		ID:      "adapter/" + id + "/" + slot.upstream,
		Verb:    verb,
		Model:   slot.model,
		Adapter: slot.adapter,
		Fence:   place.candidate.Fence,
		BootID:  slot.boot,
	}
	if verb == upstream.LoadAdapter {
		order.Version = place.adapterVersion
	}
	return order
}
