package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/transport"
)

// scriptedServer answers the requests of each connection with the texts in order; an empty text closes the
// connection.
func scriptedServer(t *testing.T, texts ...string) string {
	return listen(t, func(c net.Conn) { serveScript(c, texts) })
}

// listen serves each connection until the end of the test, and returns the address.
func listen(t *testing.T, serve func(c net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}

func serveScript(c net.Conn, texts []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if text == "" {
			return
		}
		_, _ = io.WriteString(c, text)
	}
	_, _ = io.Copy(io.Discard, reader)
}

func get(pool *Pool, address, id string) (string, error) {
	response, err := pool.Do(context.Background(), Call{
		Key: "k", Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		Matches: func(header http.Header, _ bool) bool { return header.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

const first = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"

func TestMismatchedResponses(t *testing.T) {
	second := "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo"
	for name, test := range map[string]struct {
		texts []string
		want  []string
	}{
		"kept connection":               {[]string{first, second}, []string{"one", "two"}},
		"late response before the next": {[]string{first, first + second}, []string{"one", "two"}},
		"extra response closes":         {[]string{first + first}, []string{"one"}},
		"closed without a response":     {[]string{""}, []string{"error"}},
		"garbage":                       {[]string{"garbage\r\n\r\n"}, []string{"error"}},
		"truncated":                     {[]string{"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\none", ""}, []string{"error"}},
	} {
		t.Run(name, func(t *testing.T) {
			pool := New(Settings{}, clock.RealClock{})
			address := scriptedServer(t, test.texts...)
			for index, want := range test.want {
				id := []string{"1", "2"}[index]
				got, err := getWithTimeout(pool, address, id)
				if err != nil {
					got = "error"
				}
				if got != want {
					t.Errorf("response %d is %q (%v), want %q", index, got, err, want)
				}
			}
		})
	}
}

// getWithTimeout is get with a timeout of 300 ms, for connections that stay open.
func getWithTimeout(pool *Pool, address, id string) (string, error) {
	type result struct {
		text string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		text, err := get(pool, address, id)
		results <- result{text, err}
	}()
	select {
	case got := <-results:
		return got.text, got.err
	case <-time.After(300 * time.Millisecond):
		return "", context.DeadlineExceeded
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := get(New(Settings{}, clock.RealClock{}), address, "1"); !transport.IsNotSent(err) {
		t.Errorf("got %v, want a failure that states that nothing was sent", err)
	}
}

// lingerRecorder records the SO_LINGER value with which a connection is closed.
type lingerRecorder struct {
	net.Conn
	mutex  sync.Mutex
	linger int
}

func (c *lingerRecorder) SetLinger(seconds int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.linger = seconds
	return nil
}

// TestAbandonedCallIsReset covers a partition that delays bytes: those of a call that was given up must not arrive
// after the partition ends.
func TestAbandonedCallIsReset(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	dialed := &lingerRecorder{Conn: client, linger: -1}
	pool := New(Settings{Dial: func(context.Context, string, string) (net.Conn, error) { return dialed, nil }}, clock.RealClock{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, Call{Key: "k", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("x")})
	if err == nil || transport.IsNotSent(err) {
		t.Errorf("got %v, want a failure of a call that may have been sent", err)
	}
	dialed.mutex.Lock()
	defer dialed.mutex.Unlock()
	if dialed.linger != 0 {
		t.Error("the connection was closed without a reset, so delayed bytes may still arrive")
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=2": 2 * time.Second, "max=5, timeout=1": time.Second, "": 0, "timeout=x": 0, "timeout=-1": 0,
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: got %v, want %v", text, got, want)
		}
	}
}

func TestEarlyResponseToALargeBodyClosesTheConnection(t *testing.T) {
	address := scriptedServer(t, first, first)
	pool := New(Settings{}, clock.RealClock{})
	response, err := pool.Do(context.Background(), Call{
		Key: "k", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Body: []byte(strings.Repeat("x", largeBodyBytes+1)),
	})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if len(pool.idle["k"]) != 0 {
		t.Error("the connection is kept, though the upstream may still read the body")
	}
}

// TestConnectionUnusedForTooLongIsNotTaken covers upstreams that drop unused connections without closing them.
func TestConnectionUnusedForTooLongIsNotTaken(t *testing.T) {
	address := scriptedServer(t, first, first)
	pool := New(Settings{}, clock.RealClock{})
	if _, err := get(pool, address, "1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if c := pool.takeIdle("k", 10*time.Millisecond, true); c != nil {
		t.Error("took a connection that was unused for longer")
	}
	if c := pool.takeIdle("k", time.Second, true); c == nil {
		t.Error("the connection was dropped")
	}
}
