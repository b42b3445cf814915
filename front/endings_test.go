package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// recordingSink is a sink that keeps the response.
type recordingSink struct {
	status int
	body   bytes.Buffer
}

func (sink *recordingSink) Head(status int, _ http.Header, _ int64) { sink.status = status }
func (sink *recordingSink) Begun() bool                             { return sink.status != 0 }
func (sink *recordingSink) Write(part []byte) error {
	sink.body.Write(part)
	return nil
}

// listen serves each connection, which is closed afterwards, until the end of the test, and returns the address.
func listen(t *testing.T, serve func(c *net.TCPConn)) string {
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
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// serveOnce answers one request on each connection with the text, and then closes it or resets it.
func serveOnce(t *testing.T, text string, reset bool) string {
	return listen(t, func(c *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(c, text)
		if reset {
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
		}
	})
}

// newServingDaemon returns a daemon that sends all requests for the path /s/ to the address, as a stream or a call.
func newServingDaemon(kind topology.Kind, address string) *Daemon {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	daemon.relay.Configure((&topology.Configuration{
		Version:  1,
		Routes:   []topology.Route{{Host: "h", PathPrefix: "/s/", Kind: kind, Timeout: 2 * time.Second, Targets: []topology.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1}},
		Services: map[string]topology.Service{"s": {Name: "s"}},
	}).Index())
	daemon.directory.SetReplicas([]topology.Replica{{Incarnation: topology.Incarnation{ID: "i-1"}, Service: "s", Address: address, Slots: 4}})
	return daemon
}

// newRequest returns a request with the identifier 9c that the daemon has just received.
func newRequest(daemon *Daemon, path string, body []byte) *exchange.Request {
	return &exchange.Request{
		Method: http.MethodPost, Target: path, Path: path, Host: "h", Header: http.Header{}, Body: body,
		Metadata: exchange.Metadata{ID: "9c"}, Arrived: daemon.clock.Now(),
	}
}

// TestEndingsOfResponses lists the ways in which the response of a replica ends, for each framing, against what they mean.
// It guards against issue 37: a response with neither a length nor chunks, of a replica that had ended, passed for complete.
func TestEndingsOfResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nBronzestall-Request-Id: 9c\r\nBronzestall-Response-Signature: s\r\n"
	event := func(number int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", number) }
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	const chunked, last, unframed = "Transfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", "\r\n"
	cases := []struct {
		name string
		kind topology.Kind
		text string
		// reset ends the connection with a reset.
		reset bool
		body  string
		// failure is -1 if the response is whole.
		failure outcome.Kind
	}{
		{"chunks, whole", topology.Streaming, head + chunked + chunk(event(1)) + last, false, event(1), -1},
		{"chunks, no last chunk", topology.Streaming, head + chunked + chunk(event(1)), false, event(1), outcome.UpstreamLost},
		{"chunks, within an event", topology.Streaming, head + chunked + chunk(event(1)+"id: 2\nda"), false, event(1), outcome.UpstreamLost},
		{"chunks, whole but within an event", topology.Streaming, head + chunked + chunk(event(1)+"id: 2\nda") + last, false, event(1), outcome.UpstreamLost},
		{"chunks, reset", topology.Streaming, head + chunked + chunk(event(1)), true, event(1), outcome.UpstreamLost},
		{"chunks, no event", topology.Streaming, head + chunked, false, "", outcome.UpstreamLost},
		{"unframed, whole", topology.Streaming, head + unframed + event(1) + event(2), false, event(1) + event(2), -1},
		{"unframed, within an event", topology.Streaming, head + unframed + event(1) + "id: 2\nda", false, event(1), outcome.UpstreamLost},
		{"unframed, reset", topology.Streaming, head + unframed + event(1), true, event(1), outcome.UpstreamLost},
		{"unframed, no event", topology.Streaming, head + unframed, false, "", outcome.UpstreamLost},
		{"length, whole", topology.Streaming, head + length(len(event(1))) + event(1), false, event(1), -1},
		{"length, short", topology.Streaming, head + length(99) + event(1), false, event(1), outcome.UpstreamLost},
		{"call, unframed, whole", topology.NonIdempotent, head + unframed + "yes", false, "yes", -1},
		{"call, unframed, reset", topology.NonIdempotent, head + unframed + "yes", true, "", outcome.UpstreamLost},
		{"call, length, short", topology.NonIdempotent, head + length(9) + "yes", false, "", outcome.UpstreamLost},
		{"call, chunks, no last chunk", topology.NonIdempotent, head + chunked + chunk("yes"), false, "", outcome.UpstreamLost},
		{"status line only", topology.NonIdempotent, "HTTP/1.1 200 OK\r\n", false, "", outcome.UpstreamLost},
		{"within a header", topology.NonIdempotent, head + "Content-Le", false, "", outcome.UpstreamLost},
		{"before the end of the head", topology.NonIdempotent, head, false, "", outcome.UpstreamLost},
		{"stream, before the end of the head", topology.Streaming, head, false, "", outcome.UpstreamLost},
		{"nothing", topology.NonIdempotent, "", false, "", outcome.UpstreamLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			daemon, sink := newServingDaemon(c.kind, serveOnce(t, c.text, c.reset)), &recordingSink{}
			_, failure := daemon.relay.Serve(t.Context(), newRequest(daemon, "/s/x", nil), sink)
			kind := outcome.Kind(-1)
			if failure != nil {
				kind = failure.Kind
			}
			if kind != c.failure || sink.body.String() != c.body {
				t.Errorf("ended as %v with %q", failure, strings.ReplaceAll(sink.body.String(), "\n", "|"))
			}
		})
	}
}
