package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

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
		"status 000":                            "HTTP/1.1 000 Trouble\r\n" + names + body,
		"status 000, without a length":          "HTTP/1.1 000 Trouble\r\n" + names + "\r\nyes",
		"status 000, before another head":       "HTTP/1.1 000 Trouble\r\n" + names + empty + whole,
		"status 000, after an interim one":      "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Trouble\r\n" + names + empty + whole,
		"status 099, before another head":       "HTTP/1.1 099 Trouble\r\n" + names + empty + whole,
		"status with a sign":                    "HTTP/1.1 +20 Trouble\r\n" + names + empty + whole,
		"status 600":                            "HTTP/1.1 600 Trouble\r\n" + names + body,
		"status 999, without a reason":          "HTTP/1.1 999\r\n" + names + body,
		"status 000, response of an earlier":    "HTTP/1.1 200 OK\r\nBronzestall-Request-Id: 8b\r\n" + body + "HTTP/1.1 000 Trouble\r\n" + names + empty + whole,
		"blank before the colon of a length":    "HTTP/1.1 200 OK\r\n" + names + "Content-Length : 3\r\n\r\nyesHTTP/1.1 200 OK\r\n",
		"blank before the colon of an encoding": "HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding : chunked\r\nContent-Length: 13\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
		"blank in a name":                       "HTTP/1.1 200 OK\r\n" + names + "X Trouble: 1\r\n" + body,
		"blank before a name":                   "HTTP/1.1 200 OK\r\n" + names + " X-Trouble: 1\r\n" + body,
		"blank before the first name":           "HTTP/1.1 200 OK\r\n X-Trouble: 1\r\n" + names + body,
		"tab before a name":                     "HTTP/1.1 200 OK\r\n" + names + "\tX-Trouble: 1\r\n" + body,
		"tab before the colon":                  "HTTP/1.1 200 OK\r\n" + names + "X-Trouble\t: 1\r\n" + body,
		"tab in a name":                         "HTTP/1.1 200 OK\r\n" + names + "X\tTrouble: 1\r\n" + body,
		"zero byte in a name":                   "HTTP/1.1 200 OK\r\n" + names + "X\x00Trouble: 1\r\n" + body,
		"carriage return in a name":             "HTTP/1.1 200 OK\r\n" + names + "X\rTrouble: 1\r\n" + body,
		"delete byte in a name":                 "HTTP/1.1 200 OK\r\n" + names + "X\x7fTrouble: 1\r\n" + body,
		"blank in a name of an interim head":    "HTTP/1.1 102 Processing\r\nX Trouble: 1\r\n\r\n" + whole,
		"blank in a name of a failure":          "HTTP/1.1 503 Busy\r\n" + names + "Bronzestall-Not-Executed: 1\r\nX Trouble: 1\r\n" + body,
		"line of blanks":                        "HTTP/1.1 200 OK\r\n" + names + "  \r\n" + body,
		"name without a letter":                 "HTTP/1.1 200 OK\r\n" + names + ": 1\r\n" + body,
		"line without a colon":                  "HTTP/1.1 200 OK\r\n" + names + "X-Trouble\r\n" + body,
	} {
		for kind, label := range map[topology.Kind]string{topology.NonIdempotent: "call", topology.Streaming: "stream"} {
			t.Run(name+", "+label, func(t *testing.T) {
				daemon, sink := newServingDaemon(kind, serveKept(t, text)), &recordingSink{}
				_, failure := daemon.relay.Serve(t.Context(), newRequest(daemon, "/s/x", nil), sink)
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
