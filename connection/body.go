package connection

import (
	"errors"
	"io"
	"sync"
	"time"
)

// body is the body of an answer; it gives the connection back after its end.
type body struct {
	pool  *Pool
	conn  *conn
	inner io.ReadCloser
	// stop ends the watch of the context and reports whether that had not ended.
	stop  func() bool
	reuse bool
	idle  time.Duration
	once  sync.Once
}

// Read reads the body. io.EOF states that it is complete.
func (body *body) Read(into []byte) (int, error) {
	n, err := body.inner.Read(into)
	if err != nil {
		body.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close gives up the connection unless the body was read to its end.
func (body *body) Close() error {
	body.finish(false)
	return nil
}

func (body *body) finish(complete bool) {
	body.once.Do(func() {
		alive := body.stop()
		if complete && alive && body.reuse && body.conn.reader.Buffered() == 0 {
			body.pool.put(body.conn, body.idle)
			return
		}
		if !complete {
			body.conn.abort()
			return
		}
		_ = body.conn.Close()
	})
}
