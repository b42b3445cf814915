package ingress

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// relayFunc is a Relay that serves with one function and accepts bodies of at most 10 bytes.
type relayFunc func(ctx context.Context, request *exchange.Request, sink relay.Sink) *outcome.Error

func (relayFunc) Configuration() *topology.Configuration {
	return &topology.Configuration{Limits: topology.Limits{BodyBytes: 10}}
}

func (relayFunc) Admit(context.Context, *exchange.Request) (relay.Admission, *outcome.Error) {
	return relay.Admission{}, nil
}

func (serve relayFunc) Serve(ctx context.Context, request *exchange.Request, sink relay.Sink) (relay.Summary, *outcome.Error) {
	return relay.Summary{}, serve(ctx, request, sink)
}

func newServer(t *testing.T, serve relayFunc) *httptest.Server {
	server := httptest.NewServer(New(Deps{
		Relay:  serve,
		Decode: func(sent http.Header) (http.Header, exchange.Metadata) { return sent, exchange.Metadata{} },
		Meter:  meter.New(),
		Clock:  clock.RealClock{},
	}))
	t.Cleanup(server.Close)
	return server
}

func TestRefusals(t *testing.T) {
	for kind, test := range map[outcome.Kind]struct {
		status int
		after  string
	}{
		outcome.DeadlineUnmeetable: {503, "1.50"},
		outcome.DeadlineInQueue:    {503, "1.50"},
		outcome.UpstreamRefused:    {503, "1.50"},
		outcome.Quarantined:        {503, "1.50"},
		outcome.QueueFull:          {429, "1.50"},
		outcome.Stopping:           {503, "1.50"},
		outcome.UnknownPath:        {404, ""},
		outcome.UpstreamLost:       {502, ""},
		outcome.DeadlineRunning:    {504, ""},
	} {
		server := newServer(t, func(context.Context, *exchange.Request, relay.Sink) *outcome.Error {
			return outcome.New(kind, "no").WithRetryAfter(1500 * time.Millisecond)
		})
		response, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != test.status || response.Header.Get("Retry-After") != test.after {
			t.Errorf("%v is answered with %d and Retry-After %q", kind, response.StatusCode, response.Header.Get("Retry-After"))
		}
	}
}

func TestResponsePassesUnchanged(t *testing.T) {
	server := newServer(t, func(_ context.Context, request *exchange.Request, sink relay.Sink) *outcome.Error {
		sink.Head(http.StatusTeapot, http.Header{"X-Mark": {"1"}}, int64(len(request.Body)))
		_ = sink.Write(request.Body)
		return nil
	})
	response, err := http.Post(server.URL+"/a/b?c=%20d", "", strings.NewReader("<html>"))
	if err != nil {
		t.Fatal(err)
	}
	content, _ := io.ReadAll(response.Body)
	if string(content) != "<html>" || response.StatusCode != http.StatusTeapot || response.Header.Get("X-Mark") != "1" || response.Header.Get("Content-Type") != "" {
		t.Errorf("got %d %v %q", response.StatusCode, response.Header, content)
	}
}

func TestStreamThatBreaksDoesNotLookComplete(t *testing.T) {
	server := newServer(t, func(_ context.Context, _ *exchange.Request, sink relay.Sink) *outcome.Error {
		sink.Head(http.StatusOK, http.Header{}, -1)
		_ = sink.Write([]byte("id: 1\n\n"))
		return outcome.New(outcome.UpstreamLost, "lost")
	})
	response, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	if content, err := io.ReadAll(response.Body); err == nil || string(content) != "id: 1\n\n" {
		t.Errorf("read %q, %v; want a broken connection", content, err)
	}
}

func TestBodyOverTheLimit(t *testing.T) {
	server := newServer(t, func(context.Context, *exchange.Request, relay.Sink) *outcome.Error {
		t.Error("the request reached the relay")
		return nil
	})
	response, err := http.Post(server.URL, "", strings.NewReader("more than ten bytes"))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d", response.StatusCode)
	}
}

func TestDisconnectedClientEndsTheContext(t *testing.T) {
	ended := make(chan struct{})
	begun := make(chan struct{})
	server := newServer(t, func(ctx context.Context, _ *exchange.Request, _ relay.Sink) *outcome.Error {
		close(begun)
		<-ctx.Done()
		close(ended)
		return outcome.New(outcome.CallerGone, "gone")
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
		t.Error("got a response")
	}
	<-ended
}

func TestReady(t *testing.T) {
	for ready, want := range map[bool]int{true: 200, false: 503} {
		recorder := httptest.NewRecorder()
		Ready(func() bool { return ready }).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/ready", nil))
		if recorder.Code != want {
			t.Errorf("ready %t is answered with %d", ready, recorder.Code)
		}
	}
}

// TestBodyThatNeverEndsIsRefused covers a client that sends its body byte by byte for longer than its own timeout. A
// slow client that stays within the timeout is served.
func TestBodyThatNeverEndsIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		pieces int
		status int
	}{
		"in time":    {4, http.StatusOK},
		"too late":   {1000, http.StatusServiceUnavailable},
		"empty body": {0, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			served := relayFunc(func(ctx context.Context, _ *exchange.Request, sink relay.Sink) *outcome.Error {
				// The timeout for the body must not bound the response.
				time.Sleep(400 * time.Millisecond)
				if ctx.Err() != nil {
					return outcome.New(outcome.CallerGone, "the context ended")
				}
				sink.Head(http.StatusOK, http.Header{}, 0)
				return nil
			})
			server := httptest.NewServer(New(Deps{
				Relay: served,
				Decode: func(sent http.Header) (http.Header, exchange.Metadata) {
					return sent, exchange.Metadata{ClientTimeout: 300 * time.Millisecond}
				},
				Meter: meter.New(),
				Clock: clock.RealClock{},
			}))
			defer server.Close()
			reader, writer := io.Pipe()
			go func() {
				for range test.pieces {
					if _, err := writer.Write([]byte("x")); err != nil {
						return
					}
					time.Sleep(40 * time.Millisecond)
				}
				_ = writer.Close()
			}()
			response, err := http.Post(server.URL, "text/plain", reader)
			_ = reader.Close()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			if response.StatusCode != test.status {
				t.Errorf("status %d", response.StatusCode)
			}
		})
	}
}

// TestRequestsWithoutAFinalResponseAreHeld checks that the ingress knows each request from when it was read until its response ends.
func TestRequestsWithoutAFinalResponseAreHeld(t *testing.T) {
	var held heldRequests
	first := &exchange.Request{Arrived: time.Unix(1, 0)}
	second := &exchange.Request{Arrived: time.Unix(2, 0)}
	removeSecond := held.add(second)
	removeFirst := held.add(first)
	if got := held.list(); len(got) != 2 || got[0] != first || got[1] != second {
		t.Errorf("%v are held, want both in the order of their arrival", got)
	}
	removeFirst()
	if got := held.list(); len(got) != 1 || got[0] != second {
		t.Errorf("%v are held, want the second", got)
	}
	removeSecond()
	if got := held.list(); len(got) != 0 {
		t.Errorf("%v are held, want none", got)
	}
}

// chargingRelay is a Relay that charges accounts. A request runs once if its path says so.
type chargingRelay struct {
	relayFunc
	refunds *atomic.Int64
}

func (charging chargingRelay) Admit(context.Context, *exchange.Request) (relay.Admission, *outcome.Error) {
	return relay.Admission{Refund: func() { charging.refunds.Add(1) }}, nil
}

func (charging chargingRelay) Serve(_ context.Context, request *exchange.Request, sink relay.Sink) (relay.Summary, *outcome.Error) {
	if request.Path == "/runs" {
		sink.Head(http.StatusOK, http.Header{}, 0)
		return relay.Summary{Runs: 1}, nil
	}
	return relay.Summary{}, outcome.New(outcome.QueueFull, "no")
}

// TestChargeOfRequestThatDidNotRunIsGivenBack guards against requests that are refused after their admission, or whose bodies are refused,
// and use up the quota, and against refunds of requests that ran.
func TestChargeOfRequestThatDidNotRunIsGivenBack(t *testing.T) {
	for _, test := range []struct {
		path, body string
		refunds    int64
	}{{"/runs", "", 0}, {"/refused", "", 1}, {"/runs", "more than ten bytes", 1}} {
		refunds := &atomic.Int64{}
		server := httptest.NewServer(New(Deps{
			Relay:  chargingRelay{refunds: refunds},
			Decode: func(sent http.Header) (http.Header, exchange.Metadata) { return sent, exchange.Metadata{} },
			Meter:  meter.New(),
			Clock:  clock.RealClock{},
		}))
		response, err := http.Post(server.URL+test.path, "", strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		server.Close()
		if refunds.Load() != test.refunds {
			t.Errorf("%s with %q: %d refunds", test.path, test.body, refunds.Load())
		}
	}
}
