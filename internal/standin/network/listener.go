package network

import (
	"context"
	"net"
	"sync"
)

// Listener hands out connections that can be made to fail. Use Wrap or NewPipe.
type Listener struct {
	// inner is nil for connections in memory.
	inner net.Listener
	pipes chan net.Conn
	done  chan struct{}
	once  sync.Once

	mu     sync.Mutex
	open   map[*conn]struct{}
	dials  int
	refuse bool
}

// Wrap returns a listener on top of another.
func Wrap(inner net.Listener) *Listener {
	return &Listener{inner: inner, done: make(chan struct{}), open: map[*conn]struct{}{}}
}

// NewPipe returns a listener whose connections are made by Dial and stay in memory.
func NewPipe() *Listener {
	listener := Wrap(nil)
	listener.pipes = make(chan net.Conn)
	return listener
}

// Accept returns the next connection.
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

// Dial opens a connection in memory. It fails after Refuse and Close.
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

// Refuse makes Dial fail, or work again.
func (listener *Listener) Refuse(refuse bool) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.refuse = refuse
}

// Dials returns how often Dial was called.
func (listener *Listener) Dials() int {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.dials
}

// StallConnections makes every open connection silent for good and returns their number.
func (listener *Listener) StallConnections() int {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for c := range listener.open {
		c.silence()
	}
	return len(listener.open)
}

// CloseConnections closes every open connection and returns their number.
func (listener *Listener) CloseConnections() int {
	listener.mu.Lock()
	cut := make([]*conn, 0, len(listener.open))
	for c := range listener.open {
		cut = append(cut, c)
	}
	listener.mu.Unlock()
	for _, c := range cut {
		_ = c.Close()
	}
	return len(cut)
}

// Close ends Accept.
func (listener *Listener) Close() error {
	listener.once.Do(func() { close(listener.done) })
	if listener.inner != nil {
		return listener.inner.Close()
	}
	return nil
}

// Addr returns the address of the listener below, or a made-up one.
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
