package transport_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/network"
	"github.com/bronzestall/bronzestall/internal/transport"
)

func TestMain(m *testing.M) {
	logx.Disable()
	os.Exit(m.Run())
}

// bench is a server in memory that counts the requests whose body it read.
type bench struct {
	listener *network.Listener
	counted  atomic.Int64
	// dead makes connections of dialMortal that are open take no further byte.
	dead atomic.Bool
}

// mortal is a connection that takes no byte once dead is set.
type mortal struct {
	net.Conn
	dead *atomic.Bool
}

// Write fails without taking a byte once the connection is dead.
func (m *mortal) Write(part []byte) (int, error) {
	if m.dead.Load() {
		return 0, net.ErrClosed
	}
	return m.Conn.Write(part)
}

func (b *bench) dialMortal(ctx context.Context, network, address string) (net.Conn, error) {
	b.dead.Store(false)
	inner, err := b.listener.Dial(ctx, network, address)
	return &mortal{Conn: inner, dead: &b.dead}, err
}

// inBubble runs the test in a bubble of testing/synctest. The path decides what the server does after counting.
func inBubble(t *testing.T, test func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{listener: network.NewPipe()}
		server := &http.Server{Handler: b}
		go func() { _ = server.Serve(b.listener) }()
		test(t, b)
		_ = server.Close()
	})
}

// ServeHTTP counts the request. It cuts the connection for /cut and answers after an hour for /slow.
func (b *bench) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	b.counted.Add(1)
	switch request.URL.Path {
	case "/cut":
		panic(http.ErrAbortHandler)
	case "/slow":
		select {
		case <-time.After(time.Hour):
		case <-request.Context().Done():
		}
	}
}

func (b *bench) client(settings transport.Settings) *transport.Client {
	if settings.Dial == nil {
		settings.Dial = b.listener.Dial
	}
	return transport.New(settings, clock.RealClock{})
}

// exchange makes one exchange and returns its failure.
func exchange(ctx context.Context, client *transport.Client, method, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://server"+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Idempotency-Key", "k")
	response, err := client.Do(ctx, request, body)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}

func isNotSent(err error) bool {
	var failure *transport.Error
	return errors.As(err, &failure) && failure.NotSent
}

func TestNothingIsResent(t *testing.T) {
	cases := []struct {
		method string
		body   []byte
	}{
		{http.MethodGet, nil},
		{http.MethodPost, nil},
		{http.MethodPost, []byte("body")},
		{http.MethodPut, []byte("body")},
		{http.MethodDelete, nil},
	}
	for _, c := range cases {
		inBubble(t, func(t *testing.T, b *bench) {
			client := b.client(transport.Settings{})
			defer client.Close()
			if err := exchange(t.Context(), client, http.MethodGet, "/", nil); err != nil {
				t.Fatal(err)
			}
			err := exchange(t.Context(), client, c.method, "/cut", c.body)
			if err == nil || isNotSent(err) {
				t.Errorf("%s: got %v", c.method, err)
			}
			if counted := b.counted.Load(); counted != 2 {
				t.Errorf("%s with %d bytes reached the server %d times", c.method, len(c.body), counted-1)
			}
		})
	}
}

// TestTheLibraryResends shows that the bench would notice a repetition: the
// transport of net/http makes one here.
func TestTheLibraryResends(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		inner := &http.Transport{DialContext: b.listener.Dial}
		client := &http.Client{Transport: inner}
		for _, path := range []string{"/", "/cut"} {
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server"+path, bytes.NewReader([]byte("body")))
			request.Header.Set("Idempotency-Key", "k")
			response, err := client.Do(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}
		inner.CloseIdleConnections()
		if counted := b.counted.Load(); counted != 3 {
			t.Errorf("the server counted %d requests, not 3", counted)
		}
	})
}

func TestNotSentIsSaidOnlyIfNothingWasWritten(t *testing.T) {
	slowDial := func(b *bench) transport.Settings {
		return transport.Settings{DialTimeout: time.Minute, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(30 * time.Second)
			return b.listener.Dial(ctx, network, address)
		}}
	}
	cases := []struct {
		name     string
		settings func(b *bench) transport.Settings
		occupy   bool
		path     string
		notSent  bool
		counted  int64
	}{
		{"cancelled while dialling", slowDial, false, "/", true, 0},
		{"cancelled before a connection is free", func(*bench) transport.Settings { return transport.Settings{Connections: 1} }, true, "/", true, 1},
		{"cancelled after sending", func(*bench) transport.Settings { return transport.Settings{} }, false, "/slow", false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, b *bench) {
				client := b.client(c.settings(b))
				if c.occupy {
					go func() { _ = exchange(t.Context(), client, http.MethodPost, "/slow", nil) }()
					synctest.Wait()
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := exchange(ctx, client, http.MethodPost, c.path, []byte("body")); isNotSent(err) != c.notSent {
					t.Errorf("got %v", err)
				}
				time.Sleep(2 * time.Hour)
				if counted := b.counted.Load(); counted != c.counted {
					t.Errorf("the server counted %d requests, not %d", counted, c.counted)
				}
				client.Close()
			})
		})
	}
}

func TestUselessConnectionsAreReplaced(t *testing.T) {
	cases := []struct {
		name   string
		settle func(b *bench)
	}{
		{"too old", func(*bench) { time.Sleep(11 * time.Second) }},
		{"closed by the server", func(b *bench) {
			b.listener.CloseConnections()
			synctest.Wait()
		}},
		{"dead on writing", func(b *bench) { b.dead.Store(true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, b *bench) {
				client := b.client(transport.Settings{ConnectionAge: 10 * time.Second, Dial: b.dialMortal})
				defer client.Close()
				for range 3 {
					if err := exchange(t.Context(), client, http.MethodPost, "/", []byte("body")); err != nil {
						t.Fatal(err)
					}
				}
				c.settle(b)
				if err := exchange(t.Context(), client, http.MethodPost, "/", []byte("body")); err != nil {
					t.Fatal(err)
				}
				if dials, counted := b.listener.Dials(), b.counted.Load(); dials != 2 || counted != 4 {
					t.Errorf("%d connections were opened and %d requests counted", dials, counted)
				}
			})
		})
	}
}
