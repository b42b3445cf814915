package soak

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// cableBuffer is the number of writes that a connection holds.
const cableBuffer = 1024

// cable is one end of a connection in memory. Unlike net.Pipe it buffers writes, so that a writer
// holds no lock while its peer does not read.
type cable struct {
	wires    *wires
	from, to string
	in       <-chan []byte
	out      chan<- []byte
	// rest is what was received and not read yet. Only the reader uses it.
	rest []byte
	// deaf states that what this end writes, and its close, is lost.
	deaf   atomic.Bool
	once   sync.Once
	closed chan struct{}
	// finish is closed when the other end learns of the close; finished is that of the other end.
	finish   chan struct{}
	finished <-chan struct{}
	read     *limit
	write    *limit
}

// newCables returns both ends of a connection.
func newCables(wires *wires, from, to string) (near, far *cable) {
	there, back := make(chan []byte, cableBuffer), make(chan []byte, cableBuffer)
	near = &cable{wires: wires, from: from, to: to, in: back, out: there, closed: make(chan struct{}), finish: make(chan struct{}), read: newLimit(), write: newLimit()}
	far = &cable{wires: wires, from: to, to: from, in: there, out: back, closed: make(chan struct{}), finish: make(chan struct{}), read: newLimit(), write: newLimit()}
	near.finished, far.finished = far.finish, near.finish
	return near, far
}

func (cable *cable) Read(part []byte) (int, error) {
	if len(cable.rest) == 0 {
		if err := cable.receive(); err != nil {
			return 0, err
		}
	}
	if err := cable.hold(); err != nil {
		return 0, err
	}
	n := copy(part, cable.rest)
	cable.rest = cable.rest[n:]
	return n, nil
}

// receive waits for the next write of the other end. What was sent before a close is read first.
func (cable *cable) receive() error {
	select {
	case <-cable.closed:
		return net.ErrClosed
	case <-cable.read.passed():
		return os.ErrDeadlineExceeded
	case cable.rest = <-cable.in:
		return nil
	case <-cable.finished:
	}
	if err := cable.hold(); err != nil {
		return err
	}
	select {
	case cable.rest = <-cable.in:
		return nil
	default:
		return net.ErrClosed
	}
}

func (cable *cable) Write(part []byte) (int, error) {
	if cable.deaf.Load() {
		return len(part), nil
	}
	select {
	case <-cable.closed:
		return 0, net.ErrClosed
	case <-cable.finished:
		return 0, net.ErrClosed
	default:
	}
	select {
	case cable.out <- append([]byte(nil), part...):
		return len(part), nil
	case <-cable.closed:
		return 0, net.ErrClosed
	case <-cable.finished:
		return 0, net.ErrClosed
	case <-cable.write.passed():
		return 0, os.ErrDeadlineExceeded
	}
}

func (cable *cable) Close() error {
	cable.once.Do(func() {
		close(cable.closed)
		if !cable.deaf.Load() {
			close(cable.finish)
		}
	})
	cable.wires.drop(cable)
	return nil
}

func (cable *cable) LocalAddr() net.Addr  { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (cable *cable) RemoteAddr() net.Addr { return &net.IPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func (cable *cable) SetDeadline(at time.Time) error {
	cable.read.set(at)
	cable.write.set(at)
	return nil
}

func (cable *cable) SetReadDeadline(at time.Time) error {
	cable.read.set(at)
	return nil
}

func (cable *cable) SetWriteDeadline(at time.Time) error {
	cable.write.set(at)
	return nil
}

// limit is a deadline that can be moved while somebody waits for it.
type limit struct {
	lock  sync.Mutex
	timer *time.Timer
	over  chan struct{}
}

func newLimit() *limit {
	return &limit{over: make(chan struct{})}
}

func (limit *limit) passed() <-chan struct{} {
	limit.lock.Lock()
	defer limit.lock.Unlock()
	return limit.over
}

func (limit *limit) set(at time.Time) {
	limit.lock.Lock()
	defer limit.lock.Unlock()
	if limit.timer != nil {
		limit.timer.Stop()
	}
	select {
	case <-limit.over:
		limit.over = make(chan struct{})
	default:
	}
	if at.IsZero() {
		return
	}
	over := limit.over
	if wait := time.Until(at); wait > 0 {
		limit.timer = time.AfterFunc(wait, func() { limit.pass(over) })
		return
	}
	close(over)
}

// pass ends the wait unless the deadline was moved meanwhile.
func (limit *limit) pass(over chan struct{}) {
	limit.lock.Lock()
	defer limit.lock.Unlock()
	if limit.over != over {
		return
	}
	select {
	case <-over:
	default:
		close(over)
	}
}
