package network

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection that can go silent: what is written vanishes and nothing is read any more.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func (c *conn) silence() {
	c.silent.Store(true)
}

// Read reads unless the connection is silent; then it blocks until the connection is closed on this side.
func (c *conn) Read(part []byte) (int, error) {
	n, err := c.Conn.Read(part)
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes, or pretends to.
func (c *conn) Write(part []byte) (int, error) {
	if c.silent.Load() {
		return len(part), nil
	}
	return c.Conn.Write(part)
}

// Close closes the connection. The other end of a silent connection does not notice.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.remove(c)
	if c.silent.Load() {
		return nil
	}
	return c.Conn.Close()
}
