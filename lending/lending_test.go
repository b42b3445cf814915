package lending

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"k8s.io/utils/clock"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/lending/lendingpb"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

// server is a Relay that answers as the test says.
type server struct {
	serve     func(ctx context.Context, sink relay.Sink) (relay.Summary, *outcome.Error)
	request   *exchange.Request
	allowance relay.Allowance
}

func (server *server) ServeLent(ctx context.Context, request *exchange.Request, allowance relay.Allowance, sink relay.Sink) (relay.Summary, *outcome.Error) {
	server.request, server.allowance = request, allowance
	return server.serve(ctx, sink)
}

// protocols keeps the versions that clients tell the daemons of start.
var protocols = protocol.NewRegistry(clock.RealClock{})

// start returns the address of a daemon with the relay.
func start(t *testing.T, server *server) string {
	t.Helper()
	decode := func(sent http.Header) (http.Header, exchange.Metadata) {
		return sent, exchange.Metadata{ID: sent.Get("Id")}
	}
	mux := http.NewServeMux()
	mux.Handle(Path, NewHandler(server, decode, clock.RealClock{}, protocols, func(string, *exchange.Request, *outcome.Error) {}))
	opened := httptest.NewServer(mux)
	t.Cleanup(opened.Close)
	return strings.TrimPrefix(opened.URL, "http://")
}

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	served := &server{serve: func(_ context.Context, into relay.Sink) (relay.Summary, *outcome.Error) {
		into.(*sink).NameSender("v2", 1)
		into.Head(207, http.Header{"X-Odd": {"\xff\xfe", "b"}, "Content-Type": {"text/event-stream"}}, -1)
		_ = into.Write([]byte("id: 1\n\n"))
		_ = into.Write([]byte("\x00\xff"))
		return relay.Summary{}, nil
	}}
	request := &exchange.Request{
		Method: "PUT", Target: "/a%2Fb?c=\xe4", Path: "/a/b", Host: "h.example", Body: []byte("\x00body\xff"),
		Header: http.Header{"Id": {"7"}, "X-Twice": {"1", "\xff"}},
	}
	allowance := relay.Allowance{Attempts: 2, Service: "s", Release: "v2", ResumeAfter: exchange.NewEventID(9), Configuration: 11}
	reply, err := NewClient("a", http.DefaultClient).Send(t.Context(), start(t, served), request, 1500*time.Millisecond, allowance)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(reply.Body)
	if err != nil || string(content) != "id: 1\n\n\x00\xff" || reply.Status != 207 || !reply.EventStream || reply.Release != "v2" || reply.Runs != 1 {
		t.Errorf("got %q, %v, %+v", content, err, reply)
	}
	if values := reply.Header["X-Odd"]; len(values) != 2 || values[0] != "\xff\xfe" {
		t.Errorf("headers are %q", reply.Header)
	}
	if version := protocols.Version("a"); version != protocol.Current {
		t.Errorf("the request tells the version %d", version)
	}
	got := served.request
	if got.Method != request.Method || got.Target != request.Target || got.Path != request.Path || got.Host != request.Host || string(got.Body) != string(request.Body) {
		t.Errorf("the request is %+v", got)
	}
	if !reflect.DeepEqual(got.Header, request.Header) || got.Metadata.ClientTimeout != 1500*time.Millisecond || !reflect.DeepEqual(served.allowance, allowance) {
		t.Errorf("headers %q, %+v, allowance %+v", got.Header, got.Metadata, served.allowance)
	}
}

func TestEndsOfLentRequests(t *testing.T) {
	cases := []struct {
		name  string
		serve func(ctx context.Context, sink relay.Sink) (relay.Summary, *outcome.Error)
		// refused is the kind of the refusal, or -1; notRun states that it says so, truthfully.
		refused outcome.Kind
		notRun  bool
	}{
		{"refused before any sending", func(context.Context, relay.Sink) (relay.Summary, *outcome.Error) {
			return relay.Summary{}, outcome.New(outcome.QueueFull, "full").WithRetryAfter(time.Second)
		}, outcome.QueueFull, true},
		{"refused after a sending that may have run", func(context.Context, relay.Sink) (relay.Summary, *outcome.Error) {
			return relay.Summary{Runs: 1}, outcome.New(outcome.NoReplica, "gone")
		}, outcome.NoReplica, false},
		{"lost", func(context.Context, relay.Sink) (relay.Summary, *outcome.Error) {
			return relay.Summary{Runs: 1}, outcome.New(outcome.UpstreamLost, "lost")
		}, outcome.UpstreamLost, false},
		{"broken off midway", func(_ context.Context, sink relay.Sink) (relay.Summary, *outcome.Error) {
			sink.Head(200, nil, -1)
			_ = sink.Write([]byte("id: 1\n\n"))
			return relay.Summary{Runs: 1}, outcome.New(outcome.UpstreamLost, "lost")
		}, -1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reply, err := NewClient("a", http.DefaultClient).Send(t.Context(), start(t, &server{serve: c.serve}), &exchange.Request{Method: "GET"}, time.Second, relay.Allowance{})
			if refusal := relay.AsRefusal(err); refusal != nil {
				if refusal.Failure.Kind != c.refused || refusal.NotRun() != c.notRun {
					t.Errorf("refused as %v, not run: %v", refusal, refusal.NotRun())
				}
				return
			}
			if err != nil || c.refused >= 0 {
				t.Fatalf("not refused: %v", err)
			}
			if _, err := io.ReadAll(reply.Body); err == nil {
				t.Error("a response that broke off looks complete")
			}
		})
	}
}

// TestResponsesOfOtherBuilds guards against issue 48: a response that this build cannot read stated that the request had not run,
// unless it is one that a daemon sends before it serves anything. A refusal of an unknown kind has not run only if it says so.
func TestResponsesOfOtherBuilds(t *testing.T) {
	refusal := func(head *lendingpb.Head) func(writer http.ResponseWriter) {
		head.Refusal = "KindOfALaterBuild"
		return func(writer http.ResponseWriter) { _, _ = protodelim.MarshalTo(writer, head) }
	}
	status := func(code int) func(writer http.ResponseWriter) {
		return func(writer http.ResponseWriter) { writer.WriteHeader(code) }
	}
	for name, c := range map[string]struct {
		answer  func(writer http.ResponseWriter)
		refused bool
		notRun  bool
	}{
		"no such path":                      {status(http.StatusNotFound), true, true},
		"a request that cannot be decoded":  {status(http.StatusBadRequest), true, true},
		"a failure":                         {status(http.StatusInternalServerError), false, false},
		"an unavailable service":            {status(http.StatusServiceUnavailable), false, false},
		"an unknown success":                {status(http.StatusAccepted), false, false},
		"an unknown kind":                   {refusal(&lendingpb.Head{}), true, false},
		"an unknown kind that has not run":  {refusal(&lendingpb.Head{NotRun: true}), true, true},
		"an unknown kind that may have run": {refusal(&lendingpb.Head{NotRun: true, Runs: 1}), true, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { c.answer(writer) }))
		t.Cleanup(server.Close)
		_, err := NewClient("a", http.DefaultClient).Send(t.Context(), strings.TrimPrefix(server.URL, "http://"), &exchange.Request{Method: "GET"}, time.Second, relay.Allowance{})
		refusal := relay.AsRefusal(err)
		if (refusal != nil) != c.refused || refusal != nil && refusal.NotRun() != c.notRun || refusal == nil && !errors.Is(err, exchange.ErrLost) {
			t.Errorf("%s: %v, a refusal: %v", name, err, refusal != nil)
		}
	}
}

// TestClientThatLeavesEndsTheRun checks that the daemon that serves a lent request learns that its client has left.
func TestClientThatLeavesEndsTheRun(t *testing.T) {
	ended := make(chan struct{})
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	address := start(t, &server{serve: func(ctx context.Context, _ relay.Sink) (relay.Summary, *outcome.Error) {
		leave()
		<-ctx.Done()
		close(ended)
		return relay.Summary{Runs: 1}, outcome.New(outcome.CallerGone, "gone")
	}})
	if _, err := NewClient("a", http.DefaultClient).Send(ctx, address, &exchange.Request{Method: "GET"}, time.Second, relay.Allowance{}); !errors.Is(err, exchange.ErrLost) {
		t.Errorf("the request ended with %v", err)
	}
	<-ended
}

func TestDaemonThatDoesNotListenGotNothing(t *testing.T) {
	_, err := NewClient("a", http.DefaultClient).Send(t.Context(), "127.0.0.1:1", &exchange.Request{Method: "GET"}, time.Second, relay.Allowance{})
	if !errors.Is(err, exchange.ErrNotSent) {
		t.Errorf("the request ended with %v", err)
	}
}

// TestRequestWithoutRoomIsRefused covers lent requests that the budget has no room for: the daemon that sent them learns that they have not
// run.
func TestRequestWithoutRoomIsRefused(t *testing.T) {
	handler := NewHandler(&server{serve: func(context.Context, relay.Sink) (relay.Summary, *outcome.Error) {
		t.Error("the request reached the relay")
		return relay.Summary{}, nil
	}}, func(sent http.Header) (http.Header, exchange.Metadata) { return sent, exchange.Metadata{} }, clock.RealClock{}, protocol.NewRegistry(clock.RealClock{}),
		func(string, *exchange.Request, *outcome.Error) {})
	handler.Hold(bytebudget.New(1))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, Path, strings.NewReader("x")))
	head := &lendingpb.Head{}
	if err := protodelim.UnmarshalFrom(recorder.Body, head); err != nil || head.GetRefusal() != outcome.NotReady.String() || !head.GetNotRun() {
		t.Errorf("got %v, %v; want a refusal of a request that has not run", head, err)
	}
}

// FuzzRequest checks that no message ends the daemon.
func FuzzRequest(f *testing.F) {
	f.Add([]byte(""))
	f.Add([]byte("\x0a\x03GET\x12\x01/\x2a\x04\x0a\x02Id"))
	handler := NewHandler(&server{serve: func(context.Context, relay.Sink) (relay.Summary, *outcome.Error) {
		return relay.Summary{}, outcome.New(outcome.NotReady, "no")
	}}, func(sent http.Header) (http.Header, exchange.Metadata) { return sent, exchange.Metadata{} }, clock.RealClock{}, protocol.NewRegistry(clock.RealClock{}),
		func(string, *exchange.Request, *outcome.Error) {})
	f.Fuzz(func(_ *testing.T, content []byte) {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, Path, strings.NewReader(string(content))))
	})
}

// TestAccountsAreLent guards against lent requests that lose their account, or the fact that their key was checked.
func TestAccountsAreLent(t *testing.T) {
	for _, account := range []*topology.Account{nil, {Name: "a"}, {Name: "b", Priority: 0, HasPriority: true}, {Name: "c", Priority: 7, HasPriority: true}} {
		sent := &exchange.Request{Method: "GET", Path: "/", Header: http.Header{}, Account: account, KeyChecked: account != nil}
		encoded := NewClient("d", nil).encode(sent, time.Second, relay.Allowance{})
		decode := func(header http.Header) (http.Header, exchange.Metadata) { return header, exchange.Metadata{} }
		handler := &Handler{decode: decode, clock: testingclock.NewFakeClock(time.Unix(1000, 0))}
		if received, _ := handler.request(encoded); !reflect.DeepEqual(received.Account, account) || received.KeyChecked != sent.KeyChecked {
			t.Errorf("account %+v, checked %t; sent %+v", received.Account, received.KeyChecked, account)
		}
	}
}
