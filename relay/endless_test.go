package relay

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
)

// dripEvery is the interval at which a replica sends a little.
const dripEvery = 300 * time.Millisecond

// dripping is a body that never ends by itself.
type dripping struct {
	ctx   context.Context
	first io.ReadCloser
	text  string
	begun bool
}

func (body *dripping) Read(into []byte) (int, error) {
	if !body.begun {
		n, err := body.first.Read(into)
		body.begun = errors.Is(err, io.EOF)
		return n, nil
	}
	select {
	case <-body.ctx.Done():
		return 0, errors.Join(exchange.ErrLost, body.ctx.Err())
	case <-time.After(dripEvery):
		return copy(into, body.text), nil
	}
}

func (body *dripping) Close() error { return nil }

// dripped is a stream that sends the text and then a little each dripEvery.
func dripped(text, drips string) step {
	next := ok(text)
	next.drips = drips
	return next
}

// TestStalledStreamThatDripsIsGivenUp covers replicas that stall but send a byte or a comment now and then.
func TestStalledStreamThatDripsIsGivenUp(t *testing.T) {
	for name, drips := range map[string]string{"bytes of an event": "x", "comments": ": alive\n\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(dripped(events(1, 2), drips), ok(events(3, 4)))
				begun := time.Now()
				failure := site.serve(t.Context(), "/resume/x")
				got := strings.ReplaceAll(site.client.body.String(), drips, "")
				if failure != nil || len(site.upstream.attempts) != 2 || got != strings.ReplaceAll(events(1, 4), drips, "") {
					t.Errorf("ended as %v after %d sendings with %q", failure, len(site.upstream.attempts), got)
				}
				if took := time.Since(begun); took > 2*time.Second {
					t.Errorf("went on elsewhere after %v", took)
				}
			})
		})
	}
}

// TestStalledStreamThatMayNotGoOnEndsAtItsDeadline covers a dripping stream that no other replica may take over.
func TestStalledStreamThatMayNotGoOnEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(dripped(events(1, 2), ": alive\n\n"))
		begun := time.Now()
		failure := site.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind != outcome.DeadlineRunning || time.Since(begun) != 10*time.Second {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

// TestSlowSoundStreamIsNotCut covers a replica that sends whole events, each near the end of the patience with it.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts = 8
		reader, writer := io.Pipe()
		go func() {
			for id := 1; id <= parts; id++ {
				time.Sleep(silentGaps*250*time.Millisecond - time.Millisecond)
				_, _ = io.WriteString(writer, events(id, id))
			}
			_ = writer.Close()
		}()
		slow := ok("")
		slow.reply.Body = reader
		site := newSite(slow)
		failure := site.serve(t.Context(), "/resume/x")
		if failure != nil || len(site.upstream.attempts) != 1 || site.client.body.String() != events(1, parts) {
			t.Errorf("ended as %v after %d sendings with %q", failure, len(site.upstream.attempts), site.client.body.String())
		}
	})
}

// TestEventWithoutAnEndIsLost covers bytes that are no event and never end: little of them is kept, and the client is not
// told that its request has not run.
func TestEventWithoutAnEndIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(answered(200, events(1, 2)+strings.Repeat("x", 64*eventBytes), io.EOF))
		failure := site.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind != outcome.UpstreamLost || !strings.Contains(failure.Error(), "EventBytes") {
			t.Errorf("ended as %v", failure)
		}
		if got := site.client.body.String(); got != events(1, 2) {
			t.Errorf("the client got %d bytes", len(got))
		}
	})
}

// TestLongEventWithinTheLimitPasses keeps the limit from cutting a sound stream.
func TestLongEventWithinTheLimitPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := "data: " + strings.Repeat("x", eventBytes-chunk) + "\n\n"
		site := newSite(ok(long))
		if failure := site.serve(t.Context(), "/stream/x"); failure != nil || site.client.body.String() != long {
			t.Errorf("ended as %v with %d bytes", failure, site.client.body.Len())
		}
	})
}
