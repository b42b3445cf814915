package engine

import (
	"slices"

	"github.com/bronzestall/bronzestall/upstream"
)

// replica is one model on the engine. The lock of the server guards it.
type replica struct {
	model, version, order string
	phase                 upstream.Phase
	memory                int64
	slots                 int
	// adapters are ordered from the least to the most recently used.
	adapters []*adapter
	running  int
	// waiting is ordered by falling priority, then by arrival.
	waiting []*job
}

// adapter is one adapter in a slot.
type adapter struct {
	name, version string
	// busy is the number of requests that use it.
	busy int
	// ready is closed once the transfer ended; failed tells how.
	ready  chan struct{}
	failed bool
}

func (r *replica) adapter(name string) *adapter {
	at := slices.IndexFunc(r.adapters, func(a *adapter) bool { return a.name == name })
	if at < 0 {
		return nil
	}
	found := r.adapters[at]
	r.adapters = append(slices.Delete(r.adapters, at, at+1), found)
	return found
}

func (r *replica) drop(gone *adapter) {
	r.adapters = slices.DeleteFunc(r.adapters, func(a *adapter) bool { return a == gone })
}

// makeRoom frees a slot if all are in use and reports whether one is free.
func (r *replica) makeRoom() bool {
	if len(r.adapters) < r.slots {
		return true
	}
	at := slices.IndexFunc(r.adapters, func(a *adapter) bool { return a.busy == 0 && isClosed(a.ready) })
	if at < 0 {
		return false
	}
	r.adapters = slices.Delete(r.adapters, at, at+1)
	return true
}

func (r *replica) enqueue(waiter *job) {
	at := len(r.waiting)
	for at > 0 && r.waiting[at-1].priority < waiter.priority {
		at--
	}
	r.waiting = slices.Insert(r.waiting, at, waiter)
}

func (r *replica) idle() bool {
	return r.running == 0 && len(r.waiting) == 0
}

func (r *replica) report(load load) upstream.Replica {
	names := []string{}
	for _, a := range r.adapters {
		if isClosed(a.ready) {
			names = append(names, a.name)
		}
	}
	return upstream.Replica{
		Model: r.model, Version: r.version, Order: r.order, Phase: r.phase, Memory: r.memory,
		Adapters: names, Running: load.running, Waiting: load.waiting,
	}
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
