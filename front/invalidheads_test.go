package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// TestInvalidHeadsAreNotPassedOn guards against issue 71: replicas in trouble send heads that are none in the protocol, and what
// follows them must not pass for the body of a response.
func TestInvalidHeadsAreNotPassedOn(t *testing.T) {
	const (
		names = "Bronzestall-Request-Id: 9c\r\nBronzestall-Response-Signature: s\r\n"
		body  = "Content-Length: 3\r\n\r\nyes"
		empty = "Content-Length: 0\r\n\r\n"
		whole = "HTTP/1.1 200 OK\r\n" + names + body
	)
	for name, text := range map[string]string{
		"status 000":                         "HTTP/1.1 000 Trouble\r\n" + names + body,
		"status 000, without a length":       "HTTP/1.1 000 Trouble\r\n" + names + "\r\nyes",
		"status 000, before another head":    "HTTP/1.1 000 Trouble\r\n" + names + empty + whole,
		"status 000, after an interim one":   "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Trouble\r\n" + names + empty + whole,
		"status 099, before another head":    "HTTP/1.1 099 Trouble\r\n" + names + empty + whole,
		"status with a sign":                 "HTTP/1.1 +20 Trouble\r\n" + names + empty + whole,
		"status 600":                         "HTTP/1.1 600 Trouble\r\n" + names + body,
		"status 999, without a reason":       "HTTP/1.1 999\r\n" + names + body,
		"status 000, response of an earlier": "HTTP/1.1 200 OK\r\nBronzestall-Request-Id: 8b\r\n" + body + "HTTP/1.1 000 Trouble\r\n" + names + empty + whole,
	} {
		for kind, label := range map[topology.Kind]string{topology.NonIdempotent: "call", topology.Streaming: "stream"} {
			t.Run(name+", "+label, func(t *testing.T) {
				daemon, sink := newServingDaemon(kind, serveKept(t, text)), &recordingSink{}
				request := &exchange.Request{
					Method: http.MethodPost, Target: "/s/x", Path: "/s/x", Host: "h", Header: http.Header{},
					Metadata: exchange.Metadata{ID: "9c"}, Arrived: daemon.clock.Now(),
				}
				_, failure := daemon.relay.Serve(t.Context(), request, sink)
				if failure == nil || failure.Kind != outcome.AnswerInvalid || sink.Begun() {
					t.Errorf("ended as %v, status %d, body %q", failure, sink.status, sink.body.String())
				}
			})
		}
	}
}

// serveKept answers one request on each connection with the text, and keeps the connection until the client closes it.
func serveKept(t *testing.T, text string) string {
	return listen(t, func(c *net.TCPConn) {
		reader := bufio.NewReader(c)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, reader)
	})
}
