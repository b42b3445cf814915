package frontsoak

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy forwards connections to an address. It can delay or stall their bytes, reset them, and refuse new ones.
type proxy struct {
	listener net.Listener

	mutex sync.Mutex
	// target is the address to which new connections are forwarded.
	target string
	// connections maps each inbound connection to its outbound one.
	connections map[net.Conn]net.Conn
	// stalled states that no bytes are forwarded, and refusing that new connections are reset.
	stalled, refusing bool
	// delay is added before each forwarded chunk.
	delay time.Duration
}

func newProxy(target string) (*proxy, error) {
	return newProxyAt("127.0.0.1:0", target)
}

// newProxyAt is newProxy at the given address.
func newProxyAt(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	created := &proxy{listener: listener, target: target, connections: map[net.Conn]net.Conn{}}
	go created.accept()
	return created, nil
}

func (proxy *proxy) address() string { return proxy.listener.Addr().String() }

// accept forwards each new connection until the listener is closed.
func (proxy *proxy) accept() {
	for {
		inbound, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		go proxy.forward(inbound)
	}
}

// forward copies bytes both ways between an inbound connection and the target, until one way ends.
func (proxy *proxy) forward(inbound net.Conn) {
	proxy.mutex.Lock()
	refused, target := proxy.refusing, proxy.target
	proxy.mutex.Unlock()
	outbound, err := net.Dial("tcp", target)
	if err != nil || refused {
		reset(inbound)
		return
	}
	proxy.mutex.Lock()
	proxy.connections[inbound] = outbound
	proxy.mutex.Unlock()
	done := make(chan bool, 2)
	go func() { done <- proxy.copyOneWay(outbound, inbound) }()
	go func() { done <- proxy.copyOneWay(inbound, outbound) }()
	if clean := <-done; !clean {
		reset(inbound)
		reset(outbound)
	}
	_ = inbound.Close()
	_ = outbound.Close()
	proxy.mutex.Lock()
	delete(proxy.connections, inbound)
	proxy.mutex.Unlock()
}

// copyOneWay copies bytes until the source ends, and reports whether it ended without an error.
func (proxy *proxy) copyOneWay(to, from net.Conn) bool {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		wasStalled := false
		for proxy.stalling() {
			wasStalled = true
			time.Sleep(5 * time.Millisecond)
		}
		if wasStalled && peerClosed(from) {
			// The sender closed or reset the connection while it was stalled, so what it had sent is lost.
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

// stalling waits for the delay and reports whether the proxy is stalled.
func (proxy *proxy) stalling() bool {
	proxy.mutex.Lock()
	stalled, delay := proxy.stalled, proxy.delay
	proxy.mutex.Unlock()
	time.Sleep(delay)
	return stalled
}

// setTarget sets the address to which new connections are forwarded.
func (proxy *proxy) setTarget(address string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.target = address
}

// set sets whether the proxy stalls bytes and refuses new connections, and its delay.
func (proxy *proxy) set(stalled, refusing bool, delay time.Duration) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.stalled, proxy.refusing, proxy.delay = stalled, refusing, delay
}

// resetAll resets all connections.
func (proxy *proxy) resetAll() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for inbound, outbound := range proxy.connections {
		reset(inbound)
		reset(outbound)
	}
}

// peerClosed reports whether the other end closed or reset the connection.
func peerClosed(c net.Conn) bool {
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
		var peeked [1]byte
		n, _, failure := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = failure != syscall.EAGAIN && n <= 0
	})
	return err != nil || ended
}

// reset closes a connection so that the other end gets a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
