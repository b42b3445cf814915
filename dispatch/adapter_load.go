package dispatch

import (
	"context"
	"fmt"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/upstream"
)

// runLoad runs the load of the adapter. It continues after the request that started it has ended, since others
// may wait for it, and is bounded by Settings.AdapterTimeout.
func (dispatcher *Dispatcher) runLoad(ctx context.Context, adapterKey adapterKey, load *load, reservation *reservation, id string) {
	ctx, cancel := context.WithTimeout(ctx, dispatcher.settings.AdapterTimeout)
	defer cancel()
	load.err = dispatcher.loadUnderPermit(ctx, adapterKey, reservation, id)
	if load.err != nil {
		event.AdapterLoadFailed.LogError(load.err, "Upstream", adapterKey.upstream, "Model", adapterKey.model, "Adapter", adapterKey.adapter)
	}
	close(load.ended)
}

// loadUnderPermit acquires a transfer permit and sends the load order. If the replica has no memory left, it
// unloads another adapter and retries once.
func (dispatcher *Dispatcher) loadUnderPermit(ctx context.Context, adapterKey adapterKey, reservation *reservation, id string) error {
	engine, ok := dispatcher.deps.Engines.Engine(adapterKey.upstream)
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
	order := adapterOrder(upstream.LoadAdapter, adapterKey, reservation, id)
	verdict, err := engine.Send(ctx, order)
	if err == nil && verdict == upstream.NoMemory {
		verdict, err = dispatcher.makeRoom(ctx, engine, order, adapterKey, reservation)
	}
	if err != nil {
		// The order may have been lost or executed, but the request itself was not sent.
		return fmt.Errorf("%w: adapter not loaded: %w", upstream.ErrNotSent, err)
	}
	if verdict != upstream.Accepted {
		return &upstream.RefusedError{Reason: string(verdict)}
	}
	return nil
}

// makeRoom unloads an adapter that this daemon does not use and sends the order again.
func (dispatcher *Dispatcher) makeRoom(ctx context.Context, engine upstream.Engine, order upstream.Order, adapterKey adapterKey, reservation *reservation) (upstream.Verdict, error) {
	victim, ok := dispatcher.adapters.victim(adapterKey, reservation.candidate.Adapters)
	if !ok {
		return upstream.NoMemory, nil
	}
	other := adapterKey
	other.adapter = victim
	if _, err := engine.Send(ctx, adapterOrder(upstream.UnloadAdapter, other, reservation, order.ID+"/room")); err != nil {
		return "", err
	}
	dispatcher.adapters.forget(other)
	order.ID += "/again"
	return engine.Send(ctx, order)
}

// forget deletes the load of the adapter.
func (adapters *adapters) forget(adapterKey adapterKey) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	delete(adapters.loads, adapterKey)
}

// adapterOrder returns an order to load or unload the adapter on behalf of the request.
func adapterOrder(verb upstream.Verb, adapterKey adapterKey, reservation *reservation, id string) upstream.Order {
	order := upstream.Order{
		ID:      "adapter/" + id + "/" + adapterKey.upstream,
		Verb:    verb,
		Model:   adapterKey.model,
		Adapter: adapterKey.adapter,
		Fence:   reservation.candidate.Fence,
		BootID:  adapterKey.boot,
	}
	if verb == upstream.LoadAdapter {
		order.Version = reservation.adapterVersion
	}
	return order
}
