package engine

import (
	"slices"

	"github.com/bronzestall/bronzestall/upstream"
)

// replica is one loaded model. The mutex of the server guards it.
type replica struct {
	model, version, order string
	phase                 upstream.Phase
	memory                int64
	slots                 int
	// adapters are ordered from the least to the most recently used.
	adapters []*adapter
	running  int
	// waiting is ordered by descending priority value, then by arrival.
	waiting []*job
}

// adapter is one adapter in a slot of a replica.
type adapter struct {
	name, version string
	// users is the number of requests that use the adapter.
	users int
	// ready is closed when the transfer has ended; failed reports whether it failed.
	ready  chan struct{}
	failed bool
}

func (r *replica) adapter(name string) *adapter {
	index := slices.IndexFunc(r.adapters, func(a *adapter) bool { return a.name == name })
	if index < 0 {
		return nil
	}
	found := r.adapters[index]
	r.adapters = append(slices.Delete(r.adapters, index, index+1), found)
	return found
}

func (r *replica) removeAdapter(removed *adapter) {
	r.adapters = slices.DeleteFunc(r.adapters, func(a *adapter) bool { return a == removed })
}

// freeSlot evicts the least recently used idle adapter if all slots are in use. It reports whether a slot is free.
func (r *replica) freeSlot() bool {
	if len(r.adapters) < r.slots {
		return true
	}
	index := slices.IndexFunc(r.adapters, func(a *adapter) bool { return a.users == 0 && isClosed(a.ready) })
	if index < 0 {
		return false
	}
	r.adapters = slices.Delete(r.adapters, index, index+1)
	return true
}

func (r *replica) enqueue(waitingJob *job) {
	index := len(r.waiting)
	for index > 0 && r.waiting[index-1].priority < waitingJob.priority {
		index--
	}
	r.waiting = slices.Insert(r.waiting, index, waitingJob)
}

func (r *replica) idle() bool {
	return r.running == 0 && len(r.waiting) == 0
}

func (r *replica) report(loadReport loadReport) upstream.Replica {
	names := []string{}
	for _, a := range r.adapters {
		if isClosed(a.ready) {
			names = append(names, a.name)
		}
	}
	return upstream.Replica{
		Model: r.model, Version: r.version, Order: r.order, Phase: r.phase, Memory: r.memory,
		Adapters: names, Running: loadReport.running, Waiting: loadReport.waiting,
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
