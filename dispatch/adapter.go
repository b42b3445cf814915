package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// adapterRetention is how long an unused load is remembered, because the reports of replicas lag behind it.
const adapterRetention = 10 * time.Second

// adapterKey identifies an adapter on one boot of one upstream.
type adapterKey struct{ upstream, boot, model, adapter string }

// load is the load of one adapter on a replica, in progress or finished.
type load struct {
	// ended is closed when the load has ended.
	ended chan struct{}
	// err is valid once ended is closed.
	err error
	// users is the number of requests of this daemon that currently use the adapter.
	users int
	// used is when a request last started or stopped using the adapter.
	used time.Time
}

// adapters shares one load of an adapter on a replica between concurrent requests and tracks which adapters
// this daemon uses.
type adapters struct {
	mutex sync.Mutex
	// loads holds the loads that are in progress, in use or were used within adapterRetention.
	loads map[adapterKey]*load
	// refused holds the time of the last refused request by key, for adapterRetention. During that time a
	// report that still lists the adapter is ignored.
	refused map[adapterKey]time.Time
}

// adapterKeyOf returns the key of the request's adapter on the reserved upstream.
func (transaction *transaction) adapterKeyOf(reservation *reservation) adapterKey {
	target := transaction.req.Target
	return adapterKey{reservation.candidate.Upstream, reservation.candidate.BootID, target.Model, target.Adapter}
}

// loadAdapter loads the adapter of the request on the reserved replica unless it is loaded already. On success
// the caller must call release when the request no longer uses the adapter.
func (transaction *transaction) loadAdapter(ctx context.Context, reservation *reservation) (release func(), err error) {
	if transaction.req.Target.Adapter == "" {
		return func() {}, nil
	}
	dispatcher := transaction.dispatcher
	adapterKey := transaction.adapterKeyOf(reservation)
	listed := slices.Contains(reservation.candidate.Adapters, adapterKey.adapter)
	load, mustLoad := dispatcher.adapters.addUser(adapterKey, listed, dispatcher.clock.Now())
	release = func() { dispatcher.adapters.removeUser(adapterKey, load, dispatcher.clock.Now()) }
	if mustLoad {
		go dispatcher.runLoad(context.WithoutCancel(ctx), adapterKey, load, reservation, transaction.req.ID)
	}
	select {
	case <-load.ended:
		err = load.err
	case <-ctx.Done():
		err = fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
	}
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// addUser registers a user of the adapter and reports whether the caller must run the load. listed states that
// the replica reports the adapter as loaded.
func (adapters *adapters) addUser(adapterKey adapterKey, listed bool, now time.Time) (found *load, mustLoad bool) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	adapters.prune(now)
	if _, refused := adapters.refused[adapterKey]; refused {
		listed = false
	}
	found, ok := adapters.loads[adapterKey]
	if !ok {
		found = &load{ended: make(chan struct{})}
		adapters.loads[adapterKey] = found
		if listed {
			close(found.ended)
		}
	}
	found.users++
	found.used = now
	return found, !ok && !listed
}

// removeUser unregisters a user of the adapter and deletes a failed load.
func (adapters *adapters) removeUser(adapterKey adapterKey, used *load, now time.Time) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	used.users--
	used.used = now
	if used.failed() && adapters.loads[adapterKey] == used {
		delete(adapters.loads, adapterKey)
	}
}

// failed reports whether the load has ended with an error.
func (load *load) failed() bool {
	select {
	case <-load.ended:
		return load.err != nil
	default:
		return false
	}
}

// markRefused deletes the load of an adapter whose engine refused a request, since the adapter may have been
// unloaded.
func (adapters *adapters) markRefused(adapterKey adapterKey, now time.Time) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	delete(adapters.loads, adapterKey)
	adapters.refused[adapterKey] = now
}

// prune deletes entries that are unused for adapterRetention. The mutex must be held.
func (adapters *adapters) prune(now time.Time) {
	for adapterKey, at := range adapters.refused {
		if now.Sub(at) >= adapterRetention {
			delete(adapters.refused, adapterKey)
		}
	}
	for adapterKey, load := range adapters.loads {
		if load.users == 0 && now.Sub(load.used) >= adapterRetention {
			delete(adapters.loads, adapterKey)
		}
	}
}

// victim returns the least recently used of the listed adapters that no request of this daemon uses, and false
// if all are in use.
func (adapters *adapters) victim(wanted adapterKey, listed []string) (string, bool) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	var oldest time.Time
	chosen, found := "", false
	for _, adapter := range listed {
		other := wanted
		other.adapter = adapter
		load := adapters.loads[other]
		if load != nil && load.users > 0 {
			continue
		}
		var used time.Time
		if load != nil {
			used = load.used
		}
		if !found || used.Before(oldest) {
			chosen, oldest, found = adapter, used, true
		}
	}
	return chosen, found
}
