package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// pastDeadline is a read deadline that has passed on any clock.
var pastDeadline = time.Unix(1, 0)

// trackedConn is a connection whose reader decides whether it is closed as unused: only the reader knows whether it has taken bytes.
type trackedConn struct {
	net.Conn
	connections *Connections
	// address is that of the client, without its port.
	address string
	// used is the turn in which the connection was opened, or its last response ended.
	used atomic.Int64
	// extended is when the write deadline was last set. Only the writer uses it; there is one at a time.
	extended time.Time
	// serving is set while a request that was read whole is served.
	serving atomic.Bool

	mutex sync.Mutex
	// unused is set while no byte was read and no request was served since the connection was opened, or since its last response.
	// Requests may be read together.
	unused bool
	// interrupted is set while a read deadline in the past is in force, so that the reader looks whether the connection is unused.
	interrupted bool
	// deadline is the read deadline that the server has set; zero means none.
	deadline time.Time
}

// Read reads bytes. It returns io.EOF if the connection is to be closed as unused.
func (tracked *trackedConn) Read(into []byte) (int, error) {
	for {
		n, err := tracked.Conn.Read(into)
		again, failure := tracked.observe(n, err)
		if !again {
			return n, failure
		}
	}
}

// observe takes the result of a read. It reports whether to read again, or what the read returns.
func (tracked *trackedConn) observe(n int, err error) (again bool, failure error) {
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	if n > 0 {
		tracked.unused = false
	}
	if n > 0 || !tracked.interrupted || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, err
	}
	tracked.interrupted = false
	if tracked.unused && !tracked.hasArrived() {
		return false, io.EOF
	}
	err = tracked.Conn.SetReadDeadline(tracked.deadline)
	return err == nil, err
}

// hasArrived reports whether bytes have arrived that were not read.
func (tracked *trackedConn) hasArrived() bool {
	inner, ok := tracked.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = failure == nil && n > 0
	})
	return err == nil && arrived
}

// Close closes the connection and ends its tracking.
func (tracked *trackedConn) Close() error {
	tracked.connections.forget(tracked)
	return tracked.Conn.Close()
}

// SetReadDeadline sets the read deadline, once no interruption is in force.
func (tracked *trackedConn) SetReadDeadline(deadline time.Time) error {
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	tracked.deadline = deadline
	if tracked.interrupted {
		return nil
	}
	return tracked.Conn.SetReadDeadline(deadline)
}

// CloseWrite ends what is sent, so that the client sees the end before the server closes the connection.
func (tracked *trackedConn) CloseWrite() error {
	if inner, ok := tracked.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// responded records that a response has ended and the next request is waited for.
func (tracked *trackedConn) responded() {
	tracked.serving.Store(false)
	tracked.used.Store(tracked.connections.turns.Add(1))
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	tracked.unused = true
}

// requested records that a request is served, and returns it with a body whose end is recorded.
func (tracked *trackedConn) requested(incoming *http.Request) *http.Request {
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	tracked.unused = false
	if incoming.ContentLength == 0 {
		tracked.serving.Store(true)
		return incoming
	}
	tracked.serving.Store(false)
	// The server compares the body of its own request with kinds that it knows.
	copied := *incoming
	copied.Body = &trackedBody{ReadCloser: incoming.Body, tracked: tracked}
	return &copied
}

// interrupt makes the reader of an unused connection close it.
func (tracked *trackedConn) interrupt() {
	tracked.mutex.Lock()
	defer tracked.mutex.Unlock()
	if !tracked.unused || tracked.interrupted {
		return
	}
	// A connection that takes no deadline is closed already.
	tracked.interrupted = tracked.Conn.SetReadDeadline(pastDeadline) == nil
}
