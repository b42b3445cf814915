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

// trickleInterval is the interval at which a stalled replica sends a few bytes.
const trickleInterval = 300 * time.Millisecond

// trickleBody is a body that returns the bytes of first, and then text at each trickleInterval until the context
// ends.
type trickleBody struct {
	ctx       context.Context
	first     io.ReadCloser
	text      string
	firstDone bool
}

func (body *trickleBody) Read(into []byte) (int, error) {
	if !body.firstDone {
		n, err := body.first.Read(into)
		body.firstDone = errors.Is(err, io.EOF)
		return n, nil
	}
	select {
	case <-body.ctx.Done():
		return 0, errors.Join(exchange.ErrLost, body.ctx.Err())
	case <-time.After(trickleInterval):
		return copy(into, body.text), nil
	}
}

func (body *trickleBody) Close() error { return nil }

// trickling returns a step that streams the text and then the trickle at each trickleInterval.
func trickling(text, trickle string) step {
	next := ok(text)
	next.trickle = trickle
	return next
}

// TestTricklingStreamIsResumedElsewhere covers replicas that stall but still send a byte or a comment now and then.
func TestTricklingStreamIsResumedElsewhere(t *testing.T) {
	for name, trickle := range map[string]string{"bytes of an event": "x", "comments": ": alive\n\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(trickling(events(1, 2), trickle), ok(events(3, 4)))
				begun := time.Now()
				failure := fixture.serve(t.Context(), "/resume/x")
				got := strings.ReplaceAll(fixture.client.body.String(), trickle, "")
				if failure != nil || len(fixture.upstream.attempts) != 2 || got != strings.ReplaceAll(events(1, 4), trickle, "") {
					t.Errorf("ended as %v after %d attempts with %q", failure, len(fixture.upstream.attempts), got)
				}
				if took := time.Since(begun); took > 2*time.Second {
					t.Errorf("resumed elsewhere after %v", took)
				}
			})
		})
	}
}

// TestTricklingStreamThatIsNotResumableEndsAtItsDeadline covers a trickling stream that no other replica may take
// over.
func TestTricklingStreamThatIsNotResumableEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(trickling(events(1, 2), ": alive\n\n"))
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind != outcome.DeadlineRunning || time.Since(begun) != 10*time.Second {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

// TestSlowStreamIsNotCancelled covers a replica that sends complete events, each just before the stall limit.
func TestSlowStreamIsNotCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts = 8
		reader, writer := io.Pipe()
		go func() {
			for id := 1; id <= parts; id++ {
				time.Sleep(stallGaps*250*time.Millisecond - time.Millisecond)
				_, _ = io.WriteString(writer, events(id, id))
			}
			_ = writer.Close()
		}()
		slow := ok("")
		slow.reply.Body = reader
		fixture := newFixture(slow)
		failure := fixture.serve(t.Context(), "/resume/x")
		if failure != nil || len(fixture.upstream.attempts) != 1 || fixture.client.body.String() != events(1, parts) {
			t.Errorf("ended as %v after %d attempts with %q", failure, len(fixture.upstream.attempts), fixture.client.body.String())
		}
	})
}

// TestUnterminatedEventIsLost covers an event that never ends: it is buffered up to a limit only, and the client gets
// no error stating that its request did not run.
func TestUnterminatedEventIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(answered(200, events(1, 2)+strings.Repeat("x", 64*maxEventBytes), io.EOF))
		failure := fixture.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind != outcome.UpstreamLost || !strings.Contains(failure.Error(), "EventBytes") {
			t.Errorf("ended as %v", failure)
		}
		if got := fixture.client.body.String(); got != events(1, 2) {
			t.Errorf("the client got %d bytes", len(got))
		}
	})
}

// TestLongEventWithinTheLimitPasses guards against a limit that cancels a valid stream.
func TestLongEventWithinTheLimitPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := "data: " + strings.Repeat("x", maxEventBytes-chunkBytes) + "\n\n"
		fixture := newFixture(ok(long))
		if failure := fixture.serve(t.Context(), "/stream/x"); failure != nil || fixture.client.body.String() != long {
			t.Errorf("ended as %v with %d bytes", failure, fixture.client.body.Len())
		}
	})
}
