package frontsoak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy passes connections on to an address, until it is told otherwise.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	// open holds both ends of each connection.
	open map[net.Conn]net.Conn
	// silent states that bytes are held up, and closed that new connections are refused.
	silent, closed bool
	// delay is added to each piece.
	delay time.Duration
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made := &proxy{listener: listener, target: target, open: map[net.Conn]net.Conn{}}
	go made.accept()
	return made, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

func (proxy *proxy) accept() {
	for {
		near, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.join(near)
	}
}

func (proxy *proxy) join(near net.Conn) {
	proxy.mutex.Lock()
	refused := proxy.closed
	proxy.mutex.Unlock()
	far, err := net.Dial("tcp", proxy.target)
	if err != nil || refused {
		reset(near)
		return
	}
	proxy.mutex.Lock()
	proxy.open[near] = far
	proxy.mutex.Unlock()
	done := make(chan bool, 2)
	go func() { done <- proxy.pump(far, near) }()
	go func() { done <- proxy.pump(near, far) }()
	if clean := <-done; !clean {
		reset(near)
		reset(far)
	}
	_ = near.Close()
	_ = far.Close()
	proxy.mutex.Lock()
	delete(proxy.open, near)
	proxy.mutex.Unlock()
}

// pump copies one way until the end and reports whether that was a clean one.
func (proxy *proxy) pump(to, from net.Conn) bool {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		held := false
		for proxy.holds() {
			held = true
			time.Sleep(5 * time.Millisecond)
		}
		if held && gone(from) {
			// A partition drops what its sender gave up meanwhile.
			return false
		}
		if n > 0 {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				return false
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// holds waits for the delay and reports whether bytes are held up.
func (proxy *proxy) holds() bool {
	proxy.mutex.Lock()
	silent, delay := proxy.silent, proxy.delay
	proxy.mutex.Unlock()
	time.Sleep(delay)
	return silent
}

func (proxy *proxy) set(silent, closed bool, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.silent, proxy.closed, proxy.delay = silent, closed, delay
}

// resetAll resets all connections.
func (proxy *proxy) resetAll() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for near, far := range proxy.open {
		reset(near)
		reset(far)
	}
}

// gone reports whether the other end closed or reset the connection.
func gone(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = failure != syscall.EAGAIN && n <= 0
	})
	return err != nil || ended
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
