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
	// writes is the number of writes begun, successful or not.
	writes int
	// sealed makes further writes fail before a byte is sent.
	sealed bool
}

// Write writes to the connection unless it is sealed. The write is counted before its first byte is sent.
func (c *conn) Write(data []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	return c.Conn.Write(data)
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

func (c *conn) begun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes further writes fail and reports whether none began since the count was since.
func (c *conn) seal(since int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}
