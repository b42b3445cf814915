package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// dialTimeout is the time after which an attempt to open a connection fails, as TCP does.
const dialTimeout = 20 * time.Second

// network connects hosts by in-memory connections. Traffic between two hosts can be blocked in each direction.
type network struct {
	lock      sync.Mutex
	listeners map[string]*listener
	// host names the host of each address.
	host map[string]string
	// blocked holds the pairs of hosts whose traffic is dropped.
	blocked map[pair]bool
	// lastDisrupted holds when traffic from one host to another was last unblocked, or connections between them were last
	// stalled.
	lastDisrupted map[pair]time.Time
	// frozen maps each host whose traffic is held back to a channel that is closed when it is unfrozen.
	frozen map[string]chan struct{}
	// open holds both ends of each open connection.
	open map[*conn]struct{}
}

// pair is a direction of traffic between two hosts.
type pair struct{ from, to string }

func newNetwork() *network {
	return &network{
		listeners:     map[string]*listener{},
		host:          map[string]string{},
		blocked:       map[pair]bool{},
		lastDisrupted: map[pair]time.Time{},
		frozen:        map[string]chan struct{}{},
		open:          map[*conn]struct{}{},
	}
}

// listener accepts connections at one address.
type listener struct {
	network  *network
	address  string
	incoming chan net.Conn
	once     sync.Once
	done     chan struct{}
}

// listen returns a listener of a host at an address. It replaces an earlier one at that address.
func (network *network) listen(host, address string) net.Listener {
	created := &listener{network: network, address: address, incoming: make(chan net.Conn), done: make(chan struct{})}
	network.lock.Lock()
	defer network.lock.Unlock()
	network.listeners[address] = created
	network.host[address] = host
	return created
}

func (listener *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-listener.incoming:
		return accepted, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

func (listener *listener) Close() error {
	listener.once.Do(func() { close(listener.done) })
	listener.network.lock.Lock()
	defer listener.network.lock.Unlock()
	if listener.network.listeners[listener.address] == listener {
		delete(listener.network.listeners, listener.address)
	}
	return nil
}

func (listener *listener) Addr() net.Addr { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// dialler returns the dial function of a host.
func (network *network) dialler(from string) func(ctx context.Context, protocol, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.dial(ctx, from, address)
	}
}

// dial opens a connection. While traffic between the hosts is blocked it fails after dialTimeout, as TCP does.
func (network *network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	network.lock.Lock()
	target, listening := network.listeners[address]
	to := network.host[address]
	unreachable := network.blocked[pair{from, to}] || network.blocked[pair{to, from}]
	network.lock.Unlock()
	if network.waitUntilUnfrozen(ctx, from, to) != nil {
		unreachable = true
	}
	if unreachable {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
	if !listening {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	client, server := newConnPair(network, from, to)
	select {
	case target.incoming <- server:
		network.add(client, server)
		return client, nil
	case <-target.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
}

func (network *network) add(conns ...*conn) {
	network.lock.Lock()
	defer network.lock.Unlock()
	for _, conn := range conns {
		network.open[conn] = struct{}{}
	}
}

func (network *network) remove(conn *conn) {
	network.lock.Lock()
	defer network.lock.Unlock()
	delete(network.open, conn)
}

// block drops all traffic from one host to another from now on. Connections that are open stay stalled for good.
func (network *network) block(from, to string) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.blocked[pair{from, to}] = true
	for conn := range network.open {
		if conn.from == from && conn.to == to {
			conn.blackholed.Store(true)
		}
	}
}

// unblock lets traffic from one host to another pass on new connections.
func (network *network) unblock(from, to string) {
	network.lock.Lock()
	defer network.lock.Unlock()
	delete(network.blocked, pair{from, to})
	network.lastDisrupted[pair{from, to}] = time.Now()
}

// connectedSince reports whether two hosts could reach each other in both directions all the time since then.
func (network *network) connectedSince(one, other string, since time.Time) bool {
	network.lock.Lock()
	defer network.lock.Unlock()
	for _, direction := range []pair{{one, other}, {other, one}} {
		if network.blocked[direction] || network.lastDisrupted[direction].After(since) {
			return false
		}
	}
	return true
}

// stallConnections stalls some open connections of a host for good, in one direction or both, while new ones work.
func (network *network) stallConnections(host string, random *rand.Rand) {
	network.lock.Lock()
	defer network.lock.Unlock()
	for conn := range network.open {
		if conn.to == host && random.IntN(2) == 0 || conn.from == host && random.IntN(4) == 0 {
			conn.blackholed.Store(true)
			network.lastDisrupted[pair{conn.from, conn.to}] = time.Now()
		}
	}
}

// closeConnections closes every connection of a host.
func (network *network) closeConnections(host string) {
	network.lock.Lock()
	var affected []*conn
	for conn := range network.open {
		if conn.from == host || conn.to == host {
			affected = append(affected, conn)
		}
	}
	network.lock.Unlock()
	for _, conn := range affected {
		_ = conn.Close()
	}
}
