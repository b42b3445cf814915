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

// pool keeps one client for each upstream. A member with a new address or incarnation gets a new client.
type pool struct {
	fleet *fleet.Fleet
	dial  dialer
	clock clock.Clock
	lock  sync.Mutex
	// engines and services have at most one entry for each member that was asked for.
	engines  map[string]pooled[*upstream.Client]
	services map[string]pooled[*service.Client]
}

// dialer opens a connection; nil means TCP.
type dialer = func(ctx context.Context, network, address string) (net.Conn, error)

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

// find returns the client of a member, or false if the name is not a member. A client that is
// replaced is closed.
func find[C interface{ Close() }](pool *pool, clients map[string]pooled[C], name string, open func(member fleet.Member) C) (C, bool) {
	known, ok := pool.fleet.Upstream(name)
	pool.lock.Lock()
	defer pool.lock.Unlock()
	old, had := clients[name]
	if ok && had && old.address == known.Member.Address && old.incarnation == known.Member.Incarnation {
		return old.client, true
	}
	if had {
		old.client.Close()
		delete(clients, name)
	}
	if !ok {
		var none C
		return none, false
	}
	client := open(known.Member)
	clients[name] = pooled[C]{known.Member.Address, known.Member.Incarnation, client}
	return client, true
}

func (pool *pool) engine(name string) (*upstream.Client, bool) {
	return find(pool, pool.engines, name, func(member fleet.Member) *upstream.Client {
		return upstream.NewClient(upstream.ClientSettings{Name: name, Address: member.Address, Dial: pool.dial}, pool.clock)
	})
}

// Engine returns the order side of an engine for the decider, which sets fencing numbers itself.
func (pool *pool) Engine(name string) (upstream.Engine, bool) {
	client, ok := pool.engine(name)
	return client, ok
}

// fenced returns the order side of an engine for orders that no lease is needed for: adapters go
// into slots that belong to their replica. They carry the number that the engine has seen last.
func (pool *pool) fenced(name string) (upstream.Engine, bool) {
	client, ok := pool.engine(name)
	return fencedEngine{Engine: client, fleet: pool.fleet, name: name}, ok
}

// fencedEngine sends orders under the fencing number that the engine has seen last.
type fencedEngine struct {
	upstream.Engine
	fleet *fleet.Fleet
	name  string
}

// Send gives an order under the number and the boot in the engine's newest state.
func (engine fencedEngine) Send(ctx context.Context, order upstream.Order) (upstream.Verdict, error) {
	if known, ok := engine.fleet.Upstream(engine.name); ok {
		order.Fence = known.State.Fence
		order.BootID = known.State.BootID
	}
	return engine.Engine.Send(ctx, order)
}

// Generator returns the request side of an engine.
func (pool *pool) Generator(name string) (upstream.Generator, bool) {
	client, ok := pool.engine(name)
	return client, ok
}

// Call sends a call to a plain service once.
func (pool *pool) Call(ctx context.Context, name string, req request.Request) (dispatch.Response, error) {
	client, ok := find(pool, pool.services, name, func(member fleet.Member) *service.Client {
		return service.NewClient(service.ClientSettings{Name: name, Address: member.Address, Dial: pool.dial}, pool.clock)
	})
	if !ok {
		return dispatch.Response{}, upstream.ErrNotSent
	}
	answer, err := client.Call(ctx, req)
	return dispatch.Response{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, err
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
