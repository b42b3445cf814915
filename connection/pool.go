package connection

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/transport"
)

const (
	// maxStray bounds how many answers to earlier requests are skipped, and strayBytes the body of each.
	maxStray   = 4
	strayBytes = 1 << 20
)

// largeBody is the size in bytes from which a body is written while the answer is awaited.
const largeBody = 16 << 10

// Pool keeps connections. It is safe for concurrent use. Use New.
type Pool struct {
	settings Settings
	clock    clock.PassiveClock

	mutex sync.Mutex
	// idle maps keys to unused connections, the latest last; a list has at most MaxIdle entries.
	idle map[string][]*conn
}

// New returns a pool without connections.
func New(settings Settings, clk clock.PassiveClock) *Pool {
	return &Pool{settings: settings.withDefaults(), clock: clk, idle: map[string][]*conn{}}
}

// Do sends the call once and returns the answer once its head is there. The context bounds the
// reading of the body too. A failure is a *transport.Error, which tells whether a byte was sent.
func (pool *Pool) Do(ctx context.Context, call Call) (*http.Response, error) {
	c, err := pool.obtain(ctx, call)
	if err != nil {
		return nil, &transport.Error{NotSent: true, Cause: trace.Wrap(err)}
	}
	if call.Allowed != nil && !call.Allowed() {
		c.abort()
		return nil, &transport.Error{NotSent: true, Cause: trace.LimitExceeded("the upstream takes no requests any more")}
	}
	stop := context.AfterFunc(ctx, c.abort)
	written, err := send(c, call)
	if err != nil {
		stop()
		c.abort()
		return nil, &transport.Error{NotSent: written == 0, Cause: trace.Wrap(err)}
	}
	response, err := pool.receive(c, call)
	if err != nil {
		stop()
		c.abort()
		return nil, &transport.Error{Cause: trace.Wrap(err)}
	}
	response.Body = &body{pool: pool, conn: c, inner: response.Body, stop: stop, reuse: reusable(response, call), idle: pool.idleTime(response)}
	return response, nil
}

// CloseExpired closes the unused connections that have expired.
func (pool *Pool) CloseExpired() {
	now := pool.clock.Now()
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for key, list := range pool.idle {
		kept := list[:0]
		for _, c := range list {
			if c.expires.After(now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		pool.idle[key] = kept
		if len(kept) == 0 {
			delete(pool.idle, key)
		}
	}
}

// obtain returns an unused connection or opens one.
func (pool *Pool) obtain(ctx context.Context, call Call) (*conn, error) {
	for !call.ForceNew {
		c := pool.take(call.Key, call.MaxUnused)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, pool.settings.DialTimeout)
	defer cancel()
	inner, err := pool.settings.Dial(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	return newConn(inner, call.Key), nil
}

// take returns the unused connection that was used last, if that is not too long ago; zero means no limit.
func (pool *Pool) take(key string, maxUnused time.Duration) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[key]
	now := pool.clock.Now()
	for len(list) > 0 {
		c := list[len(list)-1]
		if maxUnused > 0 && now.Sub(c.since) > maxUnused {
			return nil
		}
		list = list[:len(list)-1]
		pool.idle[key] = list
		if c.expires.After(now) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection on which an exchange was completed.
func (pool *Pool) put(c *conn, idle time.Duration) {
	c.reused = true
	c.since = pool.clock.Now()
	c.expires = c.since.Add(idle)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if idle <= 0 || len(pool.idle[c.key]) >= pool.settings.MaxIdle {
		_ = c.Close()
		return
	}
	pool.idle[c.key] = append(pool.idle[c.key], c)
}

// idleTime returns how long the connection of the answer may stay unused.
func (pool *Pool) idleTime(response *http.Response) time.Duration {
	stated := statedIdle(response.Header)
	if stated == 0 {
		return pool.settings.IdleTimeout
	}
	return min(pool.settings.IdleTimeout, stated*idleNumerator/idleDenominator)
}

// The part of a stated idle time for which a connection is used; the rest covers the way of the next request.
const (
	idleNumerator   = 3
	idleDenominator = 4
)

// send writes the call and returns the number of bytes that the connection took.
func send(c *conn, call Call) (int, error) {
	var message bytes.Buffer
	message.Grow(1024 + len(call.Body))
	_, _ = fmt.Fprintf(&message, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	if err := call.Header.Write(&message); err != nil {
		return 0, err
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		message.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	message.WriteString("\r\n")
	if len(call.Body) <= largeBody {
		message.Write(call.Body)
		return c.Write(message.Bytes())
	}
	written, err := c.Write(message.Bytes())
	if err != nil {
		return written, err
	}
	go func() {
		if _, err := c.Write(call.Body); err != nil {
			c.abort()
		}
	}()
	return written, nil
}

// receive reads heads until one answers the call.
func (pool *Pool) receive(c *conn, call Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	for range maxStray {
		c.allowed.renew("HeadBytes", pool.settings.HeadBytes)
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.Matches == nil || call.Matches(response.Header) {
			c.allowed.lift()
			return response, nil
		}
		c.allowed.renew("StrayBytes", strayBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, trace.BadParameter("only answers to other requests came")
}

// reusable reports whether a further request may follow on the connection after the whole answer.
// While a large body is still being written, what the upstream reads next is in doubt.
func reusable(response *http.Response, call Call) bool {
	return !response.Close && len(call.Body) <= largeBody
}
