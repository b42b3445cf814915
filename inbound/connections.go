package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"
)

// closeInterval is the interval at which Drain closes connections that have become unused.
const closeInterval = 10 * time.Millisecond

// Connections tracks the connections that one server has accepted. It is safe for concurrent use. Use New.
type Connections struct {
	// closing is set once responses carry "Connection: close".
	closing atomic.Bool
	// listener is that from which the connections are accepted, or nil; it is fixed once the server serves. draining is set once Drain
	// closes it.
	listener net.Listener
	draining atomic.Bool

	// writeProgress is the time within which clients must read on, or zero for any; it is fixed once the server serves. unread counts the
	// responses that ended for it.
	writeProgress time.Duration
	unread        atomic.Int64
	// most is the number of connections that may be open, or zero for any; it is fixed once the server serves.
	most int

	mutex sync.Mutex
	open  map[*trackedConn]bool
	// shed counts the connections that were closed because there were too many.
	shed int64

	// turns counts the openings of connections and the ends of responses, so that connections can be compared by when they were used.
	turns atomic.Int64
}

// New returns a tracker without connections.
func New() *Connections {
	return &Connections{open: map[*trackedConn]bool{}}
}

// Track makes the server track its connections. It returns the listener that the server must accept from, which accepts from the
// given one. The server must not serve yet.
func (connections *Connections) Track(server *http.Server, inner net.Listener) net.Listener {
	server.ConnState = connections.observe
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, trackedKey{}, conn)
	}
	connections.listener = inner
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		if tracked, ok := incoming.Context().Value(trackedKey{}).(*trackedConn); ok {
			incoming = tracked.requested(incoming)
		}
		if connections.closing.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, incoming)
	})
	return &trackingListener{Listener: inner, connections: connections}
}

// trackedKey is the key of the connection in the contexts of its requests.
type trackedKey struct{}

// observe is the ConnState function of the server.
func (connections *Connections) observe(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		tracked.responded()
	case http.StateHijacked:
		connections.forget(tracked)
	}
}

// forget ends the tracking of a connection.
func (connections *Connections) forget(tracked *trackedConn) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	delete(connections.open, tracked)
}

// CloseAfterResponses makes further responses carry "Connection: close", so that clients open new connections, elsewhere if they
// can. Unused connections stay open.
func (connections *Connections) CloseAfterResponses() {
	connections.closing.Store(true)
}

// Drain closes the listener, which makes the server return http.ErrServerClosed, and connections as they become unused, until none is
// open or the context ends.
func (connections *Connections) Drain(ctx context.Context, clk clock.WithTicker) {
	connections.draining.Store(true)
	if connections.listener != nil {
		// It may be closed already.
		_ = connections.listener.Close()
	}
	ticker := clk.NewTicker(closeInterval)
	defer ticker.Stop()
	for connections.CloseUnused() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C():
		}
	}
}

// CloseUnused closes the connections on which no byte has arrived since they were opened, or since their last response. The server
// closes each a moment later. It returns the number of open connections.
func (connections *Connections) CloseUnused() int {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for tracked := range connections.open {
		tracked.interrupt()
	}
	return len(connections.open)
}

// trackingListener tracks the connections that it accepts.
type trackingListener struct {
	net.Listener
	connections *Connections
}

// Accept waits for the next connection. It fails with http.ErrServerClosed once the connections are drained.
func (listener *trackingListener) Accept() (net.Conn, error) {
	inner, err := listener.Listener.Accept()
	if err != nil && listener.connections.draining.Load() {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: inner, connections: listener.connections, address: hostOf(inner.RemoteAddr()), unused: true}
	tracked.used.Store(listener.connections.turns.Add(1))
	listener.connections.add(tracked)
	return tracked, nil
}
