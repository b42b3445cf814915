package connection

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// readBufferBytes is the size of the read buffer of a connection.
const readBufferBytes = 4096

// conn is one connection with its read buffer.
type conn struct {
	net.Conn
	key    string
	reader *bufio.Reader
	// limited bounds what the reader takes from the connection.
	limited *limitedReader
	// upload writes the body of the current request beside the reading; nil if the body was written before.
	upload *upload
	// reused is set once an exchange was completed on the connection.
	reused bool
	// lastUsed is when the last exchange was completed.
	lastUsed time.Time
	// reported is when the observer was told last that bytes came.
	reported time.Time
	// expires is when the connection must no longer be used, and rests until when calls that permit it may use it;
	// both are set while the connection is unused.
	expires, rests time.Time
	// unused is how long the connection was unused before the current exchange.
	unused time.Duration
}

func newConn(inner net.Conn, key string) *conn {
	c := &conn{Conn: inner, key: key}
	c.limited = &limitedReader{inner: c}
	c.reader = bufio.NewReaderSize(c.limited, readBufferBytes)
	return c
}

// Read reads from the connection. io.EOF means that the upstream has ended it in order, after which an upload has no purpose.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if !errors.Is(err, io.EOF) || c.upload == nil {
		return n, err
	}
	if failure := c.upload.stop(); failure != nil {
		return n, failure
	}
	return n, err
}

// readHead reads the head of the next response to the request. It fails with a *responsehead.Error if the head is not valid.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	// What is buffered can always be returned.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.limited.head.Begin(buffered); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, request)
}

// abort closes the connection with a reset, so that bytes still in transit are never delivered.
func (c *conn) abort() {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// If setting the option fails, the connection is closed nonetheless.
		_ = inner.SetLinger(0)
	}
	_ = c.Close()
}

// usable reports whether the connection is open and no bytes arrived since the last response.
func (c *conn) usable() bool {
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
