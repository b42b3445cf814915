package transport

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/internal/responsehead"
)

// errSealed is the error of a write to a sealed connection.
var errSealed = errors.New("connection is sealed against further requests")

// conn is a connection that counts its writes, can be sealed against further ones, and checks the heads of responses.
type conn struct {
	net.Conn
	opened time.Time

	mu sync.Mutex
	// writes is the number of writes that wrote at least one byte or may still do so.
	writes int
	// sealed makes further writes fail before a byte is written.
	sealed bool
	// head checks the head of the response that is read.
	head responsehead.Scanner
}

// Read reads from the connection. It fails with a *responsehead.Error, and returns no byte, if they are not the head of a response.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid := c.head.Scan(into[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// beginResponse makes the next byte that is read the first one of the head of a response.
func (c *conn) beginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Without received bytes, Begin does not fail.
	_ = c.head.Begin(nil)
}

// Write writes to the connection unless it is sealed. A write is counted before its first byte is written, and is
// removed from the count once it is certain that no byte was.
func (c *conn) Write(data []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	if n == 0 {
		c.undoWrite()
	}
	return n, err
}

// beginWrite counts a write. It reports false if the connection is sealed.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// undoWrite removes a write of which no byte was written from the count.
func (c *conn) undoWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// writeCount returns the number of writes so far.
func (c *conn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes further writes fail and reports true, unless the number of writes differs from count.
func (c *conn) seal(count int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return false
	}
	c.sealed = true
	return true
}
