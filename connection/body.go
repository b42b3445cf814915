package connection

import (
	"errors"
	"io"
	"sync"
	"time"
)

// body is the body of a response; it returns the connection to the pool after its end.
type body struct {
	pool  *Pool
	conn  *conn
	inner io.ReadCloser
	// stop cancels the callback of the context and reports whether the callback had not run.
	stop  func() bool
	reuse bool
	idle  time.Duration
	once  sync.Once
}

// Read reads the body. io.EOF means that it is complete.
func (body *body) Read(into []byte) (int, error) {
	n, err := body.inner.Read(into)
	if n > 0 {
		body.pool.reportBody(body.conn)
	}
	if err != nil {
		body.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the connection unless the body was read to its end.
func (body *body) Close() error {
	body.finish(false)
	return nil
}

// finish returns the connection to the pool if it can be reused, and closes it otherwise.
func (body *body) finish(complete bool) {
	body.once.Do(func() {
		alive := body.stop()
		if complete && alive && body.reuse && body.conn.reader.Buffered() == 0 {
			body.pool.putIdle(body.conn, body.idle)
			return
		}
		if !complete {
			body.conn.abort()
			return
		}
		_ = body.conn.Close()
	})
}
