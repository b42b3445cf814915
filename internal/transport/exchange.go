package transport

import (
	"net/http/httptrace"
	"sync"
	"time"
)

// exchange accounts for one round trip: which connection it got and whether a byte was written.
type exchange struct {
	oldest time.Time

	mu     sync.Mutex
	conn   *conn
	since  int
	reused bool
	// over makes a connection that is obtained late useless for this exchange.
	over bool
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: e.got}
}

// got notes the connection before the first byte is written. It seals a connection that is too old.
func (e *exchange) got(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("transport: foreign connection")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.since, e.reused = c, c.begun(), info.Reused
	if e.over || c.opened.Before(e.oldest) {
		c.seal(e.since)
	}
}

// unsent ends the exchange and reports whether no byte of it was written or can be written later.
func (e *exchange) unsent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.over = true
	if e.conn == nil {
		return true
	}
	return e.conn.seal(e.since)
}

// stale reports whether the connection had served earlier exchanges.
func (e *exchange) stale() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reused
}
