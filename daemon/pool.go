package daemon

import (
	"context"
	"net"
	"sync"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/service"
	"github.com/bronzestall/bronzestall/upstream"
)

// pool holds one client for each upstream that has been used. A member with a new address or incarnation
// gets a new client.
type pool struct {
	fleet *fleet.Fleet
	dial  dialer
	clock clock.Clock
	lock  sync.Mutex
	// engines and services have at most one entry for each name.
	engines  map[string]pooled[*upstream.Client]
	services map[string]pooled[*service.Client]
}

// dialer opens a connection; nil means TCP.
type dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// pooled is a client with the address and incarnation for which it was created.
type pooled[C any] struct {
	address     string
	incarnation string
	client      C
}

func newPool(fleet *fleet.Fleet, dial dialer, clock clock.Clock) *pool {
	return &pool{
		fleet:    fleet,
		dial:     dial,
		clock:    clock,
		engines:  map[string]pooled[*upstream.Client]{},
		services: map[string]pooled[*service.Client]{},
	}
}

// find returns the client of a member, which it opens if necessary, or false if the name is not a member.
// An outdated client is closed.
func find[C interface{ Close() }](pool *pool, clients map[string]pooled[C], name string, open func(member fleet.Member) C) (C, bool) {
	observed, ok := pool.fleet.Upstream(name)
	pool.lock.Lock()
	defer pool.lock.Unlock()
	previous, exists := clients[name]
	if ok && exists && previous.address == observed.Member.Address && previous.incarnation == observed.Member.Incarnation {
		return previous.client, true
	}
	if exists {
		previous.client.Close()
		delete(clients, name)
	}
	if !ok {
		var zero C
		return zero, false
	}
	client := open(observed.Member)
	clients[name] = pooled[C]{observed.Member.Address, observed.Member.Incarnation, client}
	return client, true
}

// engine returns the client of an engine, or false if the name is not a member.
func (pool *pool) engine(name string) (*upstream.Client, bool) {
	return find(pool, pool.engines, name, func(member fleet.Member) *upstream.Client {
		return upstream.NewClient(upstream.ClientSettings{Name: name, Address: member.Address, Dial: pool.dial}, pool.clock)
	})
}

// Engine returns the client for the decider's orders, which carry their own fencing numbers.
func (pool *pool) Engine(name string) (upstream.Engine, bool) {
	client, ok := pool.engine(name)
	return client, ok
}

// fenced returns the client for orders that need no lease: adapters are loaded into slots that belong to their
// replica. Such orders carry the fencing number that the engine last reported.
func (pool *pool) fenced(name string) (upstream.Engine, bool) {
	client, ok := pool.engine(name)
	return fencedEngine{Engine: client, fleet: pool.fleet, name: name}, ok
}

// fencedEngine sends orders with the fencing number that the engine last reported.
type fencedEngine struct {
	upstream.Engine
	fleet *fleet.Fleet
	name  string
}

// Send sends an order with the fencing number and the boot ID of the newest known state of the engine.
func (engine fencedEngine) Send(ctx context.Context, order upstream.Order) (upstream.Verdict, error) {
	if observed, ok := engine.fleet.Upstream(engine.name); ok {
		order.Fence = observed.State.Fence
		order.BootID = observed.State.BootID
	}
	return engine.Engine.Send(ctx, order)
}

// Generator returns the client for inference requests to an engine, or false if the name is not a member.
func (pool *pool) Generator(name string) (upstream.Generator, bool) {
	client, ok := pool.engine(name)
	return client, ok
}

// Call sends a call to a plain service, without retries. It fails with ErrNotSent if the name is not a member.
func (pool *pool) Call(ctx context.Context, name string, req request.Request) (dispatch.Response, error) {
	client, ok := find(pool, pool.services, name, func(member fleet.Member) *service.Client {
		return service.NewClient(service.ClientSettings{Address: member.Address, Dial: pool.dial}, pool.clock)
	})
	if !ok {
		return dispatch.Response{}, upstream.ErrNotSent
	}
	response, err := client.Call(ctx, req)
	return dispatch.Response{Status: response.Status, ContentType: response.ContentType, Body: response.Body}, err
}

// prune closes the clients of upstreams that are no longer members.
func (pool *pool) prune() {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pruneClients(pool.fleet, pool.engines)
	pruneClients(pool.fleet, pool.services)
}

func pruneClients[C interface{ Close() }](members *fleet.Fleet, clients map[string]pooled[C]) {
	for name, old := range clients {
		if _, ok := members.Upstream(name); !ok {
			old.client.Close()
			delete(clients, name)
		}
	}
}

// close closes every client.
func (pool *pool) close() {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for _, old := range pool.engines {
		old.client.Close()
	}
	for _, old := range pool.services {
		old.client.Close()
	}
}
