package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
)

// TestEndsOfAttempts covers who ended an attempt, as logs state it, and whether it counts as a crash of its replica: only a lost
// connection does, which a live process may cut as well.
func TestEndsOfAttempts(t *testing.T) {
	unsigned := ok("x")
	unsigned.reply.Signed = false
	silent := func() step { return parted(io.EOF, part{0, events(1, 1)}, part{time.Hour, ""}) }
	cases := []struct {
		name, path string
		step       step
		// end ends the request while the attempt is under way.
		end     func(fixture *fixture, cancel context.CancelFunc)
		want    Ender
		crashes int
	}{
		{"a lost connection", "/once/x", lost, nil, EndedByReplica, 1},
		{"a stream that breaks off", "/stream/x", breaking(events(1, 1), 0), nil, EndedByReplica, 1},
		{"a response without a signature", "/once/x", unsigned, nil, EndedByReplica, 0},
		{"a response that is too long", "/once/x", ok(strings.Repeat("x", MaxResponseBytes+1)), nil, EndedByReplica, 0},
		{"an event that is too long", "/stream/x", answered(200, events(1, 1)+strings.Repeat("x", 2*maxEventBytes), io.EOF), nil, EndedByReplica, 0},
		{"a failure of the replica, which is passed on", "/stream/x", answered(500, "oops", io.EOF), nil, "", 0},
		{"the deadline", "/stream/x", silent(), nil, EndedByDeadline, 0},
		{"the client", "/stream/x", silent(), func(_ *fixture, cancel context.CancelFunc) { time.AfterFunc(time.Second, cancel) }, EndedByClient, 0},
		{"the stop of the daemon", "/stream/x", silent(), func(fixture *fixture, _ context.CancelFunc) {
			time.AfterFunc(time.Second, fixture.relay.CancelRequests)
		}, EndedByStop, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(c.step)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.end != nil {
					c.end(fixture, cancel)
				}
				request := fixture.request(c.path)
				summary, _ := fixture.relay.Serve(ctx, request, &fixture.client)
				if summary.EndedBy != c.want {
					t.Errorf("ended by %q, want %q", summary.EndedBy, c.want)
				}
				suspect, _ := fixture.relay.deps.Suspects.Suspect(request.Fingerprint(), time.Now())
				if crashes := len(suspect.Crashes); crashes != c.crashes {
					t.Errorf("%d crashes count against the request, want %d", crashes, c.crashes)
				}
			})
		})
	}
}

// TestCauseIsOneLine guards against log lines that broke off in the middle: the cause had a line break.
func TestCauseIsOneLine(t *testing.T) {
	for _, err := range []error{nil, io.ErrUnexpectedEOF, fmt.Errorf("read: %w", errors.New("reset"))} {
		if lost := lostError(err); strings.Contains(lost.Error(), "\n") || !errors.Is(lost, exchange.ErrLost) || (err != nil && !errors.Is(lost, err)) {
			t.Errorf("%v became %q", err, lost)
		}
	}
}
