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

// wires joins hosts by pipes in memory that can be cut in one or both directions.
type wires struct {
	lock      sync.Mutex
	listeners map[string]*socket
	// host names the host of each address.
	host map[string]string
	// cuts holds the pairs of hosts whose traffic is lost.
	cuts map[pair]bool
	// mended holds the time at which traffic between two hosts was last let through again.
	mended map[pair]time.Time
	// frozen holds for each host whose traffic is held back the channel that is closed when it goes on.
	frozen map[string]chan struct{}
	open   map[*cable]struct{}
}

type pair struct{ from, to string }

func newWires() *wires {
	return &wires{
		listeners: map[string]*socket{},
		host:      map[string]string{},
		cuts:      map[pair]bool{},
		mended:    map[pair]time.Time{},
		frozen:    map[string]chan struct{}{},
		open:      map[*cable]struct{}{},
	}
}

// socket is a listener at one address.
type socket struct {
	wires    *wires
	address  string
	incoming chan net.Conn
	once     sync.Once
	done     chan struct{}
}

func (wires *wires) listen(host, address string) net.Listener {
	made := &socket{wires: wires, address: address, incoming: make(chan net.Conn), done: make(chan struct{})}
	wires.lock.Lock()
	defer wires.lock.Unlock()
	wires.listeners[address] = made
	wires.host[address] = host
	return made
}

func (socket *socket) Accept() (net.Conn, error) {
	select {
	case accepted := <-socket.incoming:
		return accepted, nil
	case <-socket.done:
		return nil, net.ErrClosed
	}
}

func (socket *socket) Close() error {
	socket.once.Do(func() { close(socket.done) })
	socket.wires.lock.Lock()
	defer socket.wires.lock.Unlock()
	if socket.wires.listeners[socket.address] == socket {
		delete(socket.wires.listeners, socket.address)
	}
	return nil
}

func (socket *socket) Addr() net.Addr { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// dialler returns the dial function of a host.
func (wires *wires) dialler(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return wires.dial(ctx, from, address)
	}
}

func (wires *wires) dial(ctx context.Context, from, address string) (net.Conn, error) {
	wires.lock.Lock()
	target, listens := wires.listeners[address]
	to := wires.host[address]
	cut := wires.cuts[pair{from, to}] || wires.cuts[pair{to, from}]
	wires.lock.Unlock()
	if wires.hold(ctx, from, to) != nil {
		cut = true
	}
	if cut {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
	if !listens {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	near, far := newCables(wires, from, to)
	select {
	case target.incoming <- far:
		wires.add(near, far)
		return near, nil
	case <-target.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: ctx.Err()}
	}
}

func (wires *wires) add(cables ...*cable) {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	for _, cable := range cables {
		wires.open[cable] = struct{}{}
	}
}

func (wires *wires) drop(cable *cable) {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	delete(wires.open, cable)
}

// cut loses all traffic from one host to another from now on. What is open stays silent for good.
func (wires *wires) cut(from, to string) {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	wires.cuts[pair{from, to}] = true
	for cable := range wires.open {
		if cable.from == from && cable.to == to {
			cable.deaf.Store(true)
		}
	}
}

func (wires *wires) mend(from, to string) {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	delete(wires.cuts, pair{from, to})
	wires.mended[pair{from, to}] = time.Now()
}

// joined reports whether two hosts reached each other in both directions since the time.
func (wires *wires) joined(one, other string, since time.Time) bool {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	for _, way := range []pair{{one, other}, {other, one}} {
		if wires.cuts[way] || wires.mended[way].After(since) {
			return false
		}
	}
	return true
}

// silence makes some open connections of a host silent for good, in one direction or both, while new ones work.
func (wires *wires) silence(host string, random *rand.Rand) {
	wires.lock.Lock()
	defer wires.lock.Unlock()
	for cable := range wires.open {
		if cable.to == host && random.IntN(2) == 0 || cable.from == host && random.IntN(4) == 0 {
			cable.deaf.Store(true)
			wires.mended[pair{cable.from, cable.to}] = time.Now()
		}
	}
}

// sever closes every connection of a host.
func (wires *wires) sever(host string) {
	wires.lock.Lock()
	var severed []*cable
	for cable := range wires.open {
		if cable.from == host || cable.to == host {
			severed = append(severed, cable)
		}
	}
	wires.lock.Unlock()
	for _, cable := range severed {
		_ = cable.Close()
	}
}
