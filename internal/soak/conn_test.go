package soak

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// connBuffer is the number of writes that a connection buffers in each direction.
const connBuffer = 1024

// conn is one end of an in-memory connection. Unlike net.Pipe it buffers writes, so that a writer that holds a lock does
// not block while its peer does not read.
type conn struct {
	network  *network
	from, to string
	in       <-chan []byte
	out      chan<- []byte
	// unread is data that was received and not read yet. Only the reader uses it.
	unread []byte
	// blackholed states that what this end writes, and its close, is lost.
	blackholed atomic.Bool
	once       sync.Once
	closed     chan struct{}
	// closeSent is closed when the other end may observe the close of this one; peerClosed is that of the other end.
	closeSent     chan struct{}
	peerClosed    <-chan struct{}
	readDeadline  *deadline
	writeDeadline *deadline
}

// newConnPair returns both ends of a connection.
func newConnPair(network *network, from, to string) (client, server *conn) {
	forward, backward := make(chan []byte, connBuffer), make(chan []byte, connBuffer)
	client = &conn{network: network, from: from, to: to, in: backward, out: forward, closed: make(chan struct{}), closeSent: make(chan struct{}), readDeadline: newDeadline(), writeDeadline: newDeadline()}
	server = &conn{network: network, from: to, to: from, in: forward, out: backward, closed: make(chan struct{}), closeSent: make(chan struct{}), readDeadline: newDeadline(), writeDeadline: newDeadline()}
	client.peerClosed, server.peerClosed = server.closeSent, client.closeSent
	return client, server
}

func (conn *conn) Read(data []byte) (int, error) {
	if len(conn.unread) == 0 {
		if err := conn.receive(); err != nil {
			return 0, err
		}
	}
	if err := conn.waitUntilUnfrozen(); err != nil {
		return 0, err
	}
	n := copy(data, conn.unread)
	conn.unread = conn.unread[n:]
	return n, nil
}

// receive waits for the next write of the other end. Data that was sent before a close is read first.
func (conn *conn) receive() error {
	select {
	case <-conn.closed:
		return net.ErrClosed
	case <-conn.readDeadline.expired():
		return os.ErrDeadlineExceeded
	case conn.unread = <-conn.in:
		return nil
	case <-conn.peerClosed:
	}
	if err := conn.waitUntilUnfrozen(); err != nil {
		return err
	}
	select {
	case conn.unread = <-conn.in:
		return nil
	default:
		return net.ErrClosed
	}
}

func (conn *conn) Write(data []byte) (int, error) {
	if conn.blackholed.Load() {
		return len(data), nil
	}
	select {
	case <-conn.closed:
		return 0, net.ErrClosed
	case <-conn.peerClosed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case conn.out <- append([]byte(nil), data...):
		return len(data), nil
	case <-conn.closed:
		return 0, net.ErrClosed
	case <-conn.peerClosed:
		return 0, net.ErrClosed
	case <-conn.writeDeadline.expired():
		return 0, os.ErrDeadlineExceeded
	}
}

func (conn *conn) Close() error {
	conn.once.Do(func() {
		close(conn.closed)
		if !conn.blackholed.Load() {
			close(conn.closeSent)
		}
	})
	conn.network.remove(conn)
	return nil
}

func (conn *conn) LocalAddr() net.Addr  { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (conn *conn) RemoteAddr() net.Addr { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (conn *conn) SetDeadline(at time.Time) error {
	conn.readDeadline.set(at)
	conn.writeDeadline.set(at)
	return nil
}

func (conn *conn) SetReadDeadline(at time.Time) error {
	conn.readDeadline.set(at)
	return nil
}

func (conn *conn) SetWriteDeadline(at time.Time) error {
	conn.writeDeadline.set(at)
	return nil
}

// deadline is a read or write deadline that can be moved while a call waits for it.
type deadline struct {
	lock  sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func newDeadline() *deadline {
	return &deadline{done: make(chan struct{})}
}

// expired returns a channel that is closed once the deadline has expired.
func (deadline *deadline) expired() <-chan struct{} {
	deadline.lock.Lock()
	defer deadline.lock.Unlock()
	return deadline.done
}

// set moves the deadline; the zero time removes it.
func (deadline *deadline) set(at time.Time) {
	deadline.lock.Lock()
	defer deadline.lock.Unlock()
	if deadline.timer != nil {
		deadline.timer.Stop()
	}
	select {
	case <-deadline.done:
		deadline.done = make(chan struct{})
	default:
	}
	if at.IsZero() {
		return
	}
	done := deadline.done
	if wait := time.Until(at); wait > 0 {
		deadline.timer = time.AfterFunc(wait, func() { deadline.expire(done) })
		return
	}
	close(done)
}

// expire closes the channel unless the deadline was moved meanwhile.
func (deadline *deadline) expire(done chan struct{}) {
	deadline.lock.Lock()
	defer deadline.lock.Unlock()
	if deadline.done != done {
		return
	}
	select {
	case <-done:
	default:
		close(done)
	}
}
