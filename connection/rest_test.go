package connection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	clocktesting "k8s.io/utils/clock/testing"
)

// restedUpstream counts the connections that a pool opens, and drops them without a notice if mute is set.
type restedUpstream struct {
	opened int
	mute   bool
}

func (upstream *restedUpstream) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	upstream.opened++
	reader := bufio.NewReader(server)
	go func() {
		for {
			if _, err := http.ReadRequest(reader); err != nil || upstream.mute {
				_ = server.Close()
				return
			}
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	return client, nil
}

// TestConnectionsRest guards against a new connection for each call of a daemon that seldom calls an upstream, against calls that may
// run once, or several connections, on ones that rested, and against further ones after a call was lost that way.
func TestConnectionsRest(t *testing.T) {
	clk := clocktesting.NewFakePassiveClock(time.Unix(1000, 0))
	upstream := &restedUpstream{}
	pool := New(Settings{Dial: upstream.dial}, clk)
	call := func(mayRest bool) error {
		response, err := pool.Do(t.Context(), Call{Key: "k", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MayRest: mayRest})
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	expect := func(step string, mayRest bool, opened int) {
		t.Helper()
		if err := call(mayRest); err != nil || upstream.opened != opened {
			t.Errorf("%s: %d connections, %v, want %d", step, upstream.opened, err, opened)
		}
	}
	pass := func(passed time.Duration) {
		clk.SetTime(clk.Now().Add(passed))
		pool.CloseExpired()
	}
	expect("first", true, 1)
	pass(10 * time.Second)
	expect("after a rest", true, 1)
	pass(10 * time.Second)
	expect("one that must not rest", false, 2)
	pass(time.Minute)
	expect("after the longest rest", true, 3)

	pass(10 * time.Second)
	upstream.mute = true
	if err := call(true); err == nil {
		t.Error("a call on a dropped connection succeeded")
	}
	upstream.mute = false
	expect("after a dropped connection", true, 4)
	pass(5 * time.Second)
	expect("while cautious", true, 5)
	pass(cautiousTime)
	expect("afterwards", true, 6)
	pass(5 * time.Second)
	expect("afterwards, after a rest", true, 6)
}

// TestFewConnectionsRest guards against unused connections that use up those that a replica accepts.
func TestFewConnectionsRest(t *testing.T) {
	clk := clocktesting.NewFakePassiveClock(time.Unix(1000, 0))
	pool := New(Settings{}, clk)
	for clients, want := range map[int]int{1: 4, 62: 2, 360: 1} {
		pool.CloseUnused("k")
		pool.SetClients(clients)
		for range 6 {
			client, server := net.Pipe()
			defer server.Close()
			pool.putIdle(newConn(client, "k"), 10*time.Second)
		}
		clk.SetTime(clk.Now().Add(2 * time.Second))
		pool.CloseExpired()
		if kept := len(pool.idle["k"]); kept != want {
			t.Errorf("%d clients: %d unused connections are kept, want %d", clients, kept, want)
		}
	}
	stated := &http.Response{Header: http.Header{"Keep-Alive": {"timeout=4"}}, Body: io.NopCloser(strings.NewReader(""))}
	if got := pool.idleTime(stated); got != 3*time.Second {
		t.Errorf("a connection rests for %v if the upstream states 4 s", got)
	}
}
