package transport

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errSealed is the failure of a write to a connection that takes no further request.
var errSealed = errors.New("connection takes no further request")

// conn counts the writes to a connection.
type conn struct {
	net.Conn
	opened time.Time

	mu sync.Mutex
	// writes is the number of writes that took a byte, or may still take one.
	writes int
	// sealed makes further writes fail before a byte is sent.
	sealed bool
}

// Write writes to the connection unless it is sealed. The write is counted before its first byte
// is sent, and no longer once it is certain that none was.
func (c *conn) Write(data []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	if n == 0 {
		c.undo()
	}
	return n, err
}

func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *conn) undo() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

func (c *conn) begun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes further writes fail and reports whether no byte was taken since the count was since.
func (c *conn) seal(since int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}
