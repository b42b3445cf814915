package requestbody

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/outcome"
)

// answer sends the text on a connection of its own to a server that handles it, and returns the status of the response. The client reads
// the response to the end of the connection or of its content, and sends nothing more.
func answer(t *testing.T, handler http.HandlerFunc, text string) *http.Response {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.CloseClientConnections)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	// A connection that stays open fails the test instead of blocking it.
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	status, rest, _ := strings.Cut(string(content), "\r\n")
	response := &http.Response{Status: status, Header: http.Header{}}
	if strings.Contains(rest, "Connection: close") {
		response.Header.Set("Connection", "close")
	}
	return response
}

// TestBodyOutsideTheBounds guards against part 6 of docs/HARD-LOAD.md: bodies that stop just short of their end are refused and their
// connections closed, although the client neither sends the rest nor closes.
func TestBodyOutsideTheBounds(t *testing.T) {
	const stopped = "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\nshort"
	for name, test := range map[string]struct {
		limits Limits
		length int
		want   outcome.Kind
	}{
		"no progress":       {Limits{Bytes: 1000, Timeout: time.Hour, Progress: 50 * time.Millisecond}, 1000, outcome.DeadlineInQueue},
		"no time left":      {Limits{Bytes: 1000, Timeout: 50 * time.Millisecond}, 1000, outcome.DeadlineInQueue},
		"longer by far":     {Limits{Bytes: 1000, Timeout: time.Hour}, 1 << 30, outcome.BodyTooLarge},
		"longer by a byte":  {Limits{Bytes: 1000, Timeout: time.Hour}, 1001, outcome.BodyTooLarge},
		"without any room":  {Limits{Bytes: 1000, Timeout: time.Hour, Held: bytebudget.New(1)}, 1000, outcome.NotReady},
		"without more room": {Limits{Bytes: 1 << 20, Timeout: time.Hour, Held: bytebudget.New(2 << 10)}, 5, outcome.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			response := answer(t, func(writer http.ResponseWriter, incoming *http.Request) {
				_, failure := Read(writer, incoming, clock.RealClock{}, test.limits, outcome.New(outcome.CallerGone, "gone"))
				if failure == nil {
					writer.Header().Set("Connection", "close")
					return
				}
				if failure.Kind != test.want {
					t.Errorf("failed with %v, want %v", failure, test.want)
				}
				writer.WriteHeader(failure.Kind.Entry().Status)
			}, fmt.Sprintf(stopped, test.length))
			if response.Header.Get("Connection") != "close" {
				t.Errorf("the connection stays open after %s", response.Status)
			}
		})
	}
}

// TestHeldBytesOfABodyCountUntilItIsClosed checks what a body counts, and that the account ends.
func TestHeldBytesOfABodyCountUntilItIsClosed(t *testing.T) {
	const length = 300_000
	budget := bytebudget.New(1 << 20)
	incoming := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", length)))
	body, failure := Read(httptest.NewRecorder(), incoming, clock.RealClock{}, Limits{Bytes: length, Timeout: time.Hour, Held: budget}, outcome.New(outcome.CallerGone, "gone"))
	if failure != nil || len(body.Content) != length || budget.Held() != length {
		t.Fatalf("%v; %d bytes are held, want %d", failure, budget.Held(), length)
	}
	body.Close()
	if budget.Held() != 0 {
		t.Errorf("%d bytes are held after the end", budget.Held())
	}
}

// TestDrainEnds covers refused requests whose bodies do not end: without a bound the server waits for them.
func TestDrainEnds(t *testing.T) {
	for text, want := range map[string]bool{
		"POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\n\r\nwhole":                            true,
		"POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 6\r\n\r\nshort":                            false,
		"POST / HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n":          false,
		"POST / HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n": true,
	} {
		answer(t, func(writer http.ResponseWriter, incoming *http.Request) {
			if got := Drain(writer, incoming, clock.RealClock{}, 1000, 50*time.Millisecond); got != want {
				t.Errorf("%q is drained: %t, want %t", text, got, want)
			}
			writer.Header().Set("Connection", "close")
		}, text)
	}
}
