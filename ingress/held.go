package ingress

import (
	"slices"
	"sync"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
)

// heldRequests holds the requests that were read whole and have no final response yet. The zero value holds none.
type heldRequests struct {
	mutex    sync.Mutex
	requests map[*exchange.Request]bool
}

// add adds a request that was read whole, and returns a function that removes it.
func (held *heldRequests) add(request *exchange.Request) (remove func()) {
	held.mutex.Lock()
	defer held.mutex.Unlock()
	if held.requests == nil {
		held.requests = map[*exchange.Request]bool{}
	}
	held.requests[request] = true
	return func() {
		held.mutex.Lock()
		defer held.mutex.Unlock()
		delete(held.requests, request)
	}
}

// list returns the requests, those that arrived first at the beginning.
func (held *heldRequests) list() []*exchange.Request {
	held.mutex.Lock()
	defer held.mutex.Unlock()
	listed := make([]*exchange.Request, 0, len(held.requests))
	for request := range held.requests {
		listed = append(listed, request)
	}
	slices.SortFunc(listed, func(a, b *exchange.Request) int { return a.Arrived.Compare(b.Arrived) })
	return listed
}

// LogHeld logs each request that was read whole and has no final response yet. A daemon that ends calls it before it closes the
// connections.
func (ingress *Ingress) LogHeld() {
	for _, request := range ingress.held.list() {
		event.RequestHeld.Log("Request", request.Metadata.ID, "Path", request.Path, "Took", ingress.deps.Clock.Since(request.Arrived))
	}
}
