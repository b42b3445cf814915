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
	// faults holds those that have begun and not ended. They add up.
	faults map[*proxyFault]bool
	// silent holds the inbound connections that pass nothing on any more.
	silent map[net.Conn]bool
}

// proxyFault is a fault of a proxy.
type proxyFault struct {
	// stalls states that no bytes are forwarded, mutes that none are from the target to clients, and refuses that new connections are
	// reset.
	stalls, mutes, refuses bool
	// silences states that the connections which are open meanwhile never pass a byte on again, also after the fault.
	silences bool
	// delay is added before each forwarded chunk.
	delay time.Duration
}

// begin adds the fault, and returns the function that ends it.
func (proxy *proxy) begin(fault proxyFault) (end func()) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.faults == nil {
		proxy.faults = map[*proxyFault]bool{}
	}
	proxy.faults[&fault] = true
	if fault.silences {
		for inbound := range proxy.connections {
			proxy.silent[inbound] = true
		}
	}
	return func() {
		proxy.mutex.Lock()
		defer proxy.mutex.Unlock()
		delete(proxy.faults, &fault)
	}
}

// fault returns the sum of the faults.
func (proxy *proxy) fault() proxyFault {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	var sum proxyFault
	for fault := range proxy.faults {
		sum.stalls, sum.mutes = sum.stalls || fault.stalls, sum.mutes || fault.mutes
		sum.refuses, sum.delay = sum.refuses || fault.refuses, max(sum.delay, fault.delay)
		sum.silences = sum.silences || fault.silences
	}
	return sum
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
	created := newProxyOn(listener, target)
	go created.accept()
	return created, nil
}

// newProxyOn returns a proxy that accepts no connections yet.
func newProxyOn(listener net.Listener, target string) *proxy {
	return &proxy{listener: listener, target: target, connections: map[net.Conn]net.Conn{}, silent: map[net.Conn]bool{}}
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
	if proxy.fault().refuses {
		reset(inbound)
		return
	}
	proxy.mutex.Lock()
	target := proxy.target
	proxy.mutex.Unlock()
	outbound, err := net.Dial("tcp", target)
	if err != nil {
		reset(inbound)
		return
	}
	silences := proxy.fault().silences
	proxy.mutex.Lock()
	proxy.connections[inbound] = outbound
	proxy.silent[inbound] = silences
	proxy.mutex.Unlock()
	done := make(chan bool, 2)
	go func() { done <- proxy.copyOneWay(outbound, inbound, inbound) }()
	go func() { done <- proxy.copyOneWay(inbound, outbound, inbound) }()
	if clean := <-done; !clean {
		reset(inbound)
		reset(outbound)
	}
	_ = inbound.Close()
	_ = outbound.Close()
	proxy.mutex.Lock()
	delete(proxy.connections, inbound)
	delete(proxy.silent, inbound)
	proxy.mutex.Unlock()
}

// isSilent reports whether the inbound connection passes nothing on any more.
func (proxy *proxy) isSilent(inbound net.Conn) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.silent[inbound]
}

// copyOneWay copies bytes until the source ends, and reports whether it ended without an error. inbound is the one of both that a
// client opened.
func (proxy *proxy) copyOneWay(to, from, inbound net.Conn) bool {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		wasStalled := false
		for proxy.stalling(to == inbound) {
			wasStalled = true
			time.Sleep(5 * time.Millisecond)
		}
		if wasStalled && peerClosed(from) {
			// The sender closed or reset the connection while it was stalled, so what it had sent is lost.
			return false
		}
		if n > 0 && !proxy.isSilent(inbound) {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				return false
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// stalling waits for the delay and reports whether the proxy is stalled in the direction.
func (proxy *proxy) stalling(toClient bool) bool {
	fault := proxy.fault()
	time.Sleep(fault.delay)
	return fault.stalls || fault.mutes && toClient
}

// setTarget sets the address to which new connections are forwarded.
func (proxy *proxy) setTarget(address string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.target = address
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
