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
	// maxMismatched bounds how many responses to other requests, and interim responses, are skipped;
	// maxMismatchedBytes bounds the body of each.
	maxMismatched      = 4
	maxMismatchedBytes = 1 << 20
)

// largeBodyBytes is the size above which a body is written while the response is awaited.
const largeBodyBytes = 16 << 10

// Pool keeps connections to upstreams. It is safe for concurrent use. Use New.
type Pool struct {
	settings Settings
	clock    clock.PassiveClock

	mutex sync.Mutex
	// idle maps keys to unused connections, the most recently used last; each list has at most MaxIdle entries.
	idle map[string][]*conn
	// resting is the number of unused connections of a key that may rest.
	resting int
	// cautiousUntil is until when no connection is used that was unused for longer than the IdleTimeout.
	cautiousUntil time.Time
}

// New returns a pool without connections.
func New(settings Settings, clk clock.PassiveClock) *Pool {
	return &Pool{settings: settings.withDefaults(), clock: clk, idle: map[string][]*conn{}, resting: 1}
}

// Do sends the call once and returns the response once its head was read. The context also bounds the reading of the
// body. A failure is a *transport.Error, which states whether any byte was sent.
func (pool *Pool) Do(ctx context.Context, call Call) (response *http.Response, err error) {
	c, err := pool.acquire(ctx, call)
	if err != nil {
		return nil, &transport.Error{NotSent: true, Cause: trace.Wrap(err)}
	}
	if call.Allowed != nil && !call.Allowed() {
		c.abort()
		return nil, &transport.Error{NotSent: true, Cause: trace.LimitExceeded("the upstream takes no requests any more")}
	}
	begun := pool.clock.Now()
	defer func() { pool.observeRested(ctx, c, err, begun) }()
	pool.settings.Observer.Began(call.Key, begun)
	defer pool.settings.Observer.Ended(call.Key, begun)
	c.limited.received = false
	stop := context.AfterFunc(ctx, c.abort)
	written, err := send(c, call)
	if err != nil {
		stop()
		c.abort()
		reset := pool.reportFailure(ctx, c, err, begun)
		return nil, &transport.Error{NotSent: written == 0, Reset: reset, Cause: trace.Wrap(err)}
	}
	response, err = pool.receive(c, call)
	if err != nil {
		stop()
		c.abort()
		reset := pool.reportFailure(ctx, c, err, begun)
		return nil, &transport.Error{Reset: reset, Cause: trace.Wrap(err)}
	}
	pool.reportBytes(c)
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
		for index, c := range list {
			// The most recently used ones rest.
			if c.expires.After(now) || (index >= len(list)-pool.resting && c.rests.After(now)) {
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

// CloseUnused closes the unused connections of the key. Those of an upstream that fell silent may yield nothing more after its return.
func (pool *Pool) CloseUnused(key string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, c := range pool.idle[key] {
		_ = c.Close()
	}
	delete(pool.idle, key)
}

// acquire returns an unused connection or opens a new one.
func (pool *Pool) acquire(ctx context.Context, call Call) (*conn, error) {
	for !call.ForceNew {
		c := pool.takeIdle(call.Key, call.MaxUnused, call.MayRest)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	return pool.open(ctx, call)
}

// open opens a new connection.
func (pool *Pool) open(ctx context.Context, call Call) (*conn, error) {
	begun := pool.clock.Now()
	limited, cancel := context.WithTimeout(ctx, pool.settings.DialTimeout)
	defer cancel()
	inner, err := pool.settings.Dial(limited, "tcp", call.Address)
	if err != nil {
		if ctx.Err() == nil {
			pool.settings.Observer.Failed(call.Key, dialFailure(err, pool.clock.Since(begun)-pool.settings.DialTimeout), begun)
		}
		return nil, err
	}
	return newConn(inner, call.Key), nil
}

// takeIdle returns the most recently used idle connection of the key, or nil if there is none or it was unused for
// longer than maxUnused; zero means no limit.
func (pool *Pool) takeIdle(key string, maxUnused time.Duration, mayRest bool) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[key]
	now := pool.clock.Now()
	for len(list) > 0 {
		c := list[len(list)-1]
		c.unused = now.Sub(c.lastUsed)
		if maxUnused > 0 && c.unused > maxUnused {
			return nil
		}
		expiry := c.expires
		if mayRest && !now.Before(pool.cautiousUntil) {
			expiry = c.rests
		}
		list = list[:len(list)-1]
		pool.idle[key] = list
		if expiry.After(now) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// putIdle keeps a connection on which an exchange was completed, or closes it if the list of its key is full or the
// connection must not stay unused.
func (pool *Pool) putIdle(c *conn, idle time.Duration) {
	c.reused = true
	c.lastUsed = pool.clock.Now()
	c.expires = c.lastUsed.Add(min(idle, pool.settings.IdleTimeout))
	c.rests = c.lastUsed.Add(idle)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if idle <= 0 || len(pool.idle[c.key]) >= pool.settings.MaxIdle {
		_ = c.Close()
		return
	}
	pool.idle[c.key] = append(pool.idle[c.key], c)
}

// idleTime returns how long the connection may stay unused after the response.
func (pool *Pool) idleTime(response *http.Response) time.Duration {
	stated := keepAliveTimeout(response.Header)
	if stated == 0 {
		return pool.settings.RestTimeout
	}
	return min(pool.settings.RestTimeout, stated*idleNumerator/idleDenominator)
}

// The fraction of a stated keep-alive timeout for which a connection is used. The rest covers the network delay of the
// next request.
const (
	idleNumerator   = 3
	idleDenominator = 4
)

// send writes the call and returns the number of bytes that the connection accepted.
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
	if len(call.Body) <= largeBodyBytes {
		message.Write(call.Body)
		return c.Write(message.Bytes())
	}
	written, err := c.Write(message.Bytes())
	if err != nil {
		return written, err
	}
	c.upload = startUpload(c.Conn, call.Body, c.abort)
	return written, nil
}

// receive reads responses until one matches the call.
func (pool *Pool) receive(c *conn, call Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	for range maxMismatched {
		c.limited.setLimit("HeadBytes", pool.settings.HeadBytes)
		response, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.Matches == nil || call.Matches(response.Header, c.reused) {
			c.limited.removeLimit()
			return response, nil
		}
		c.limited.setLimit("StrayBytes", maxMismatchedBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, trace.BadParameter("only answers to other requests came")
}

// reusable reports whether the connection may be used again after the complete response. While a large body is still
// being written, it is unknown what the upstream reads next.
func reusable(response *http.Response, call Call) bool {
	return !response.Close && len(call.Body) <= largeBodyBytes
}
