package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// keepAdapter is the time for which a load is remembered while reports lag behind it.
const keepAdapter = 10 * time.Second

// slot names an adapter on one boot of one upstream.
type slot struct{ upstream, boot, model, adapter string }

// load is one adapter on its way to a replica, or there.
type load struct {
	// ended is closed when the load ended.
	ended chan struct{}
	// err is set before ended is closed.
	err error
	// users is the number of requests of this daemon that use the adapter now.
	users int
	// used is the time of the last use.
	used time.Time
}

// adapters joins the loads of one adapter on one replica and remembers the uses of this daemon.
type adapters struct {
	mutex sync.Mutex
	// loads holds the loads that run or were used within keepAdapter.
	loads map[slot]*load
	// missed holds the time of a refusal of requests for a slot, within keepAdapter: reports that still name
	// the adapter are not believed.
	missed map[slot]time.Time
}

// slotOf returns the slot of the request on the place.
func (journey *journey) slotOf(place *place) slot {
	target := journey.req.Target
	return slot{place.candidate.Upstream, place.candidate.BootID, target.Model, target.Adapter}
}

// loadAdapter puts the adapter of the request on the replica of the place unless it is there. The
// returned function must be called when the request no longer uses it.
func (journey *journey) loadAdapter(ctx context.Context, place *place) (release func(), err error) {
	if journey.req.Target.Adapter == "" {
		return func() {}, nil
	}
	dispatcher := journey.dispatcher
	slot := journey.slotOf(place)
	held := slices.Contains(place.candidate.Adapters, slot.adapter)
	load, mine := dispatcher.adapters.use(slot, held, dispatcher.clock.Now())
	release = func() { dispatcher.adapters.drop(slot, load, dispatcher.clock.Now()) }
	if mine {
		go dispatcher.runLoad(context.WithoutCancel(ctx), slot, load, place, journey.req.ID)
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

// use counts a user of the slot in and reports whether the caller must run its load.
func (adapters *adapters) use(slot slot, held bool, now time.Time) (found *load, mine bool) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	adapters.prune(now)
	if _, missed := adapters.missed[slot]; missed {
		held = false
	}
	found, ok := adapters.loads[slot]
	if !ok {
		found = &load{ended: make(chan struct{})}
		adapters.loads[slot] = found
		if held {
			close(found.ended)
		}
	}
	found.users++
	found.used = now
	return found, !ok && !held
}

// drop counts a user of the slot out. A failed load is forgotten.
func (adapters *adapters) drop(slot slot, used *load, now time.Time) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	used.users--
	used.used = now
	if used.failed() && adapters.loads[slot] == used {
		delete(adapters.loads, slot)
	}
}

// failed reports whether the load ended with an error.
func (load *load) failed() bool {
	select {
	case <-load.ended:
		return load.err != nil
	default:
		return false
	}
}

// refused forgets a slot whose engine refused a request, since the adapter may be gone.
func (adapters *adapters) refused(slot slot, now time.Time) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	delete(adapters.loads, slot)
	adapters.missed[slot] = now
}

// prune forgets what nobody uses. The mutex is held.
func (adapters *adapters) prune(now time.Time) {
	for slot, at := range adapters.missed {
		if now.Sub(at) >= keepAdapter {
			delete(adapters.missed, slot)
		}
	}
	for slot, load := range adapters.loads {
		if load.users == 0 && now.Sub(load.used) >= keepAdapter {
			delete(adapters.loads, slot)
		}
	}
}

// victim returns the adapter of the replica that this daemon does not use and used longest ago.
func (adapters *adapters) victim(wanted slot, held []string) (string, bool) {
	adapters.mutex.Lock()
	defer adapters.mutex.Unlock()
	var oldest time.Time
	chosen, found := "", false
	for _, adapter := range held {
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
