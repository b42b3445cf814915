package network

import (
	"context"
	"net"
	"sync"
)

// Listener accepts connections that can be stalled or closed. It is safe for concurrent use. Use Wrap or NewPipe.
type Listener struct {
	// inner is the wrapped listener; it is nil for in-memory connections.
	inner net.Listener
	pipes chan net.Conn
	done  chan struct{}
	once  sync.Once

	mu     sync.Mutex
	open   map[*conn]struct{}
	dials  int
	refuse bool
}

// Wrap returns a listener that accepts the connections of inner.
func Wrap(inner net.Listener) *Listener {
	return &Listener{inner: inner, done: make(chan struct{}), open: map[*conn]struct{}{}}
}

// NewPipe returns a listener for in-memory connections, which Dial opens.
func NewPipe() *Listener {
	listener := Wrap(nil)
	listener.pipes = make(chan net.Conn)
	return listener
}

// Accept waits for the next connection and returns it. It returns net.ErrClosed after Close.
func (listener *Listener) Accept() (net.Conn, error) {
	if listener.inner == nil {
		select {
		case accepted := <-listener.pipes:
			return listener.add(accepted), nil
		case <-listener.done:
			return nil, net.ErrClosed
		}
	}
	accepted, err := listener.inner.Accept()
	if err != nil {
		return nil, err
	}
	return listener.add(accepted), nil
}

// Dial opens an in-memory connection. It fails after Refuse(true) and after Close.
func (listener *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	listener.mu.Lock()
	refuse := listener.refuse
	listener.dials++
	listener.mu.Unlock()
	if refuse {
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	}
	client, server := net.Pipe()
	select {
	case listener.pipes <- server:
		return client, nil
	case <-listener.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Refuse sets whether Dial fails.
func (listener *Listener) Refuse(refuse bool) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.refuse = refuse
}

// Dials returns the number of calls of Dial.
func (listener *Listener) Dials() int {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.dials
}

// StallConnections stalls every open connection for good and returns their number.
func (listener *Listener) StallConnections() int {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for c := range listener.open {
		c.stall()
	}
	return len(listener.open)
}

// CloseConnections closes every open connection and returns their number.
func (listener *Listener) CloseConnections() int {
	listener.mu.Lock()
	connections := make([]*conn, 0, len(listener.open))
	for c := range listener.open {
		connections = append(connections, c)
	}
	listener.mu.Unlock()
	for _, c := range connections {
		_ = c.Close()
	}
	return len(connections)
}

// Close makes Accept and Dial return errors. Open connections stay open.
func (listener *Listener) Close() error {
	listener.once.Do(func() { close(listener.done) })
	if listener.inner != nil {
		return listener.inner.Close()
	}
	return nil
}

// Addr returns the address of the wrapped listener, or 127.0.0.1 for in-memory connections.
func (listener *Listener) Addr() net.Addr {
	if listener.inner != nil {
		return listener.inner.Addr()
	}
	return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)}
}

func (listener *Listener) add(accepted net.Conn) net.Conn {
	c := &conn{Conn: accepted, listener: listener, closed: make(chan struct{})}
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.open[c] = struct{}{}
	return c
}

func (listener *Listener) remove(c *conn) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	delete(listener.open, c)
}
