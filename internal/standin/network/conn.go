package network

import (
	"net"
	"sync"
	"sync/atomic"
)

// conn is a connection that can be stalled: written data is discarded and nothing is received any more.
type conn struct {
	net.Conn
	listener *Listener
	stalled  atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func (c *conn) stall() {
	c.stalled.Store(true)
}

// Read reads from the connection. If it is stalled, Read blocks until it is closed on this side.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !c.stalled.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection. If it is stalled, Write discards the data and reports success.
func (c *conn) Write(buffer []byte) (int, error) {
	if c.stalled.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

// Close closes the connection. The other end of a stalled connection is not notified.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.remove(c)
	if c.stalled.Load() {
		return nil
	}
	return c.Conn.Close()
}
