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

// testServer is an in-memory server that counts the requests whose body it has read.
type testServer struct {
	listener *network.Listener
	requests atomic.Int64
	// broken makes connections that were opened by dialBreakable fail writes.
	broken atomic.Bool
}

// breakableConn is a connection whose writes fail once broken is set.
type breakableConn struct {
	net.Conn
	broken *atomic.Bool
}

// Write fails without writing a byte once broken is set.
func (conn *breakableConn) Write(data []byte) (int, error) {
	if conn.broken.Load() {
		return 0, net.ErrClosed
	}
	return conn.Conn.Write(data)
}

// dialBreakable opens a connection whose writes fail once broken is set again.
func (server *testServer) dialBreakable(ctx context.Context, network, address string) (net.Conn, error) {
	server.broken.Store(false)
	inner, err := server.listener.Dial(ctx, network, address)
	return &breakableConn{Conn: inner, broken: &server.broken}, err
}

// inBubble runs the test in a synctest bubble with a server. The path of a request decides what the server does
// after counting it.
func inBubble(t *testing.T, test func(t *testing.T, server *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		server := &testServer{listener: network.NewPipe()}
		httpServer := &http.Server{Handler: server}
		go func() { _ = httpServer.Serve(server.listener) }()
		test(t, server)
		_ = httpServer.Close()
	})
}

// ServeHTTP counts the request. It cuts the connection for /cut and responds after an hour for /slow.
func (server *testServer) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	server.requests.Add(1)
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

func (server *testServer) client(settings transport.Settings) *transport.Client {
	if settings.Dial == nil {
		settings.Dial = server.listener.Dial
	}
	return transport.New(settings, clock.RealClock{})
}

// exchange sends a request, reads the response and returns the error.
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

func TestRequestsAreNotResent(t *testing.T) {
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
	for _, test := range cases {
		inBubble(t, func(t *testing.T, server *testServer) {
			client := server.client(transport.Settings{})
			defer client.Close()
			if err := exchange(t.Context(), client, http.MethodGet, "/", nil); err != nil {
				t.Fatal(err)
			}
			err := exchange(t.Context(), client, test.method, "/cut", test.body)
			if err == nil || isNotSent(err) {
				t.Errorf("%s: got %v", test.method, err)
			}
			if requests := server.requests.Load(); requests != 2 {
				t.Errorf("%s with %d bytes reached the server %d times", test.method, len(test.body), requests-1)
			}
		})
	}
}

// TestNetHTTPResends checks that the server would count a resent request: the transport of net/http resends one
// here.
func TestNetHTTPResends(t *testing.T) {
	inBubble(t, func(t *testing.T, server *testServer) {
		inner := &http.Transport{DialContext: server.listener.Dial}
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
		if requests := server.requests.Load(); requests != 3 {
			t.Errorf("the server counted %d requests, not 3", requests)
		}
	})
}

func TestNotSentOnlyIfNothingWasWritten(t *testing.T) {
	slowDial := func(server *testServer) transport.Settings {
		return transport.Settings{DialTimeout: time.Minute, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(30 * time.Second)
			return server.listener.Dial(ctx, network, address)
		}}
	}
	cases := []struct {
		name     string
		settings func(server *testServer) transport.Settings
		occupy   bool
		path     string
		notSent  bool
		requests int64
	}{
		{"cancelled while dialling", slowDial, false, "/", true, 0},
		{"cancelled before a connection is available", func(*testServer) transport.Settings { return transport.Settings{Connections: 1} }, true, "/", true, 1},
		{"cancelled after sending", func(*testServer) transport.Settings { return transport.Settings{} }, false, "/slow", false, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, server *testServer) {
				client := server.client(test.settings(server))
				if test.occupy {
					go func() { _ = exchange(t.Context(), client, http.MethodPost, "/slow", nil) }()
					synctest.Wait()
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := exchange(ctx, client, http.MethodPost, test.path, []byte("body")); isNotSent(err) != test.notSent {
					t.Errorf("got %v", err)
				}
				time.Sleep(2 * time.Hour)
				if requests := server.requests.Load(); requests != test.requests {
					t.Errorf("the server counted %d requests, not %d", requests, test.requests)
				}
				client.Close()
			})
		})
	}
}

func TestUnusableConnectionsAreReplaced(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(server *testServer)
	}{
		{"too old", func(*testServer) { time.Sleep(11 * time.Second) }},
		{"closed by the server", func(server *testServer) {
			server.listener.CloseConnections()
			synctest.Wait()
		}},
		{"fails on writing", func(server *testServer) { server.broken.Store(true) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, server *testServer) {
				client := server.client(transport.Settings{ConnectionAge: 10 * time.Second, Dial: server.dialBreakable})
				defer client.Close()
				for range 3 {
					if err := exchange(t.Context(), client, http.MethodPost, "/", []byte("body")); err != nil {
						t.Fatal(err)
					}
				}
				test.prepare(server)
				if err := exchange(t.Context(), client, http.MethodPost, "/", []byte("body")); err != nil {
					t.Fatal(err)
				}
				if dials, requests := server.listener.Dials(), server.requests.Load(); dials != 2 || requests != 4 {
					t.Errorf("%d connections were opened and %d requests counted", dials, requests)
				}
			})
		})
	}
}
