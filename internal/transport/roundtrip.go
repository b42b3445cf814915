package transport

import (
	"net/http/httptrace"
	"sync"
	"time"
)

// roundTrip records which connection one attempt of a request uses and whether a byte was written.
type roundTrip struct {
	// minOpened is the opening time before which a connection is too old.
	minOpened time.Time

	mu           sync.Mutex
	conn         *conn
	writesBefore int
	reused       bool
	// ended states that the attempt has ended. A connection obtained later must not be used by it.
	ended bool
}

// trace returns the hooks that record the connection of the attempt.
func (trip *roundTrip) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: trip.gotConn}
}

// gotConn records the connection before the first byte is written. It seals a connection that is too old or was
// obtained after the attempt ended.
func (trip *roundTrip) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("transport: connection was not opened by this client")
	}
	trip.mu.Lock()
	defer trip.mu.Unlock()
	trip.conn, trip.writesBefore, trip.reused = c, c.writeCount(), info.Reused
	c.beginResponse()
	if trip.ended || c.opened.Before(trip.minOpened) {
		c.seal(trip.writesBefore)
	}
}

// end ends the attempt and reports whether no byte of it was written or can still be written.
func (trip *roundTrip) end() bool {
	trip.mu.Lock()
	defer trip.mu.Unlock()
	trip.ended = true
	if trip.conn == nil {
		return true
	}
	return trip.conn.seal(trip.writesBefore)
}

// connReused reports whether the connection was used by earlier requests.
func (trip *roundTrip) connReused() bool {
	trip.mu.Lock()
	defer trip.mu.Unlock()
	return trip.reused
}
