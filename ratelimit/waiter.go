package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Waiter is a request that waits until it may be sent to one of several replicas with limits.
type Waiter struct {
	replicas []topology.Incarnation
	priority int
	arrived  time.Time
	// ready is closed once the request has a permit, or its replicas have changed.
	ready chan struct{}
	// permit is set before ready is closed; it is the zero value if the request has none.
	permit Permit
}

// Ready returns a channel that is closed once the request may be sent or must be decided anew.
func (waiter *Waiter) Ready() <-chan struct{} {
	return waiter.ready
}

// Wait lets a request wait for a token of any of the replicas, by priority, zero being the most urgent, and then by
// arrival. Leave must be called at the end of the wait.
func (limiter *Limiter) Wait(replicas []topology.Incarnation, priority int, arrived, now time.Time) *Waiter {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	waiter := &Waiter{replicas: replicas, priority: priority, arrived: arrived, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(limiter.waiters, waiter, compareWaiters)
	limiter.waiters = slices.Insert(limiter.waiters, at, waiter)
	for _, replica := range replicas {
		limiter.serveWaiters(replica, now)
	}
	limiter.requestAsk()
	return waiter
}

// Leave ends the wait. It returns the permit if the request has got one, and false otherwise.
func (limiter *Limiter) Leave(waiter *Waiter) (Permit, bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.remove(waiter)
	return waiter.permit, waiter.permit.Counted
}

// compareWaiters orders waiters by priority and arrival.
func compareWaiters(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), a.arrived.Compare(b.arrived))
}

// waitingFor returns the number of requests that wait for the replica. The mutex must be held.
func (limiter *Limiter) waitingFor(replica topology.Incarnation) int {
	count := 0
	for _, waiter := range limiter.waiters {
		if slices.Contains(waiter.replicas, replica) {
			count++
		}
	}
	return count
}

// serveWaiters gives the tokens for the replica to the requests that wait for it. The mutex must be held.
func (limiter *Limiter) serveWaiters(replica topology.Incarnation, now time.Time) {
	for _, waiter := range slices.Clone(limiter.waiters) {
		if !slices.Contains(waiter.replicas, replica) {
			continue
		}
		permit, ok := limiter.take(replica, now)
		if !ok {
			return
		}
		waiter.permit = permit
		limiter.remove(waiter)
		close(waiter.ready)
	}
}

// wakeWaiters ends the waits for the replica without a permit. The mutex must be held.
func (limiter *Limiter) wakeWaiters(replica topology.Incarnation) {
	for _, waiter := range slices.Clone(limiter.waiters) {
		if slices.Contains(waiter.replicas, replica) {
			limiter.remove(waiter)
			close(waiter.ready)
		}
	}
}

// remove removes the waiter, if it still waits. The mutex must be held.
func (limiter *Limiter) remove(waiter *Waiter) {
	if at := slices.Index(limiter.waiters, waiter); at >= 0 {
		limiter.waiters = slices.Delete(limiter.waiters, at, at+1)
	}
}
