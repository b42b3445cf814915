package connection

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBuffer is the size of the buffer of a connection in bytes.
const readBuffer = 4096

// conn is one connection with what was read from it.
type conn struct {
	net.Conn
	key    string
	reader *bufio.Reader
	// allowed bounds what the reader takes from the connection.
	allowed *allowance
	// reused states that an exchange was completed on it.
	reused bool
	// since is when it was last used.
	since time.Time
	// expires is when it takes no further request; it is set while the connection is unused.
	expires time.Time
}

func newConn(inner net.Conn, key string) *conn {
	allowed := &allowance{inner: inner}
	return &conn{Conn: inner, key: key, allowed: allowed, reader: bufio.NewReaderSize(allowed, readBuffer)}
}

// abort closes the connection so that bytes which have not arrived yet never will.
func (c *conn) abort() {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that cannot be set so is closed all the same.
		_ = inner.SetLinger(0)
	}
	_ = c.Close()
}

// quiet reports whether the connection is open and nothing came since its last answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = failure == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
