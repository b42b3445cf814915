package relay

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
)

// heartbeat is a comment as replicas send it to keep connections open.
const heartbeat = ": heartbeat\n\n"

// goOn is a way in which a stream leaves its first replica after the parts and goes on elsewhere.
type goOn struct {
	name string
	// prepare returns a relay whose first replica streams the parts, and which sends the rest next.
	prepare func(parts []part, rest step) *fixture
	// resumedAfter returns the event after which the rest was asked for, and whether it was.
	resumedAfter func(fixture *fixture) (exchange.EventID, bool)
}

// ownResumedAfter returns the event after which the second attempt of this daemon goes on.
func ownResumedAfter(fixture *fixture) (exchange.EventID, bool) {
	if len(fixture.upstream.attempts) != 2 {
		return exchange.EventID{}, false
	}
	return fixture.upstream.attempts[1].ResumeAfter, true
}

// lentResumedAfter returns the event after which the second attempt through another daemon goes on.
func lentResumedAfter(fixture *fixture) (exchange.EventID, bool) {
	allowances := fixture.relay.deps.Lender.(*lenders).allowances
	if len(allowances) != 2 {
		return exchange.EventID{}, false
	}
	return allowances[1].ResumeAfter, true
}

// waysToGoOn are all ways in which a stream goes on within one response.
var waysToGoOn = []goOn{
	{"the replica breaks off", func(parts []part, rest step) *fixture {
		return newFixture(parted(errBroken, parts...), rest)
	}, ownResumedAfter},
	{"the replica falls silent", func(parts []part, rest step) *fixture {
		return newFixture(parted(io.EOF, append(parts, part{time.Hour, ""})...), rest)
	}, ownResumedAfter},
	{"the replica of another daemon breaks off", func(parts []part, rest step) *fixture {
		fixture := newFixture()
		first := answered(200, joinedText(parts), errBroken)
		first.reply.EventStream = true
		fixture.relay.deps.Lender = &lenders{cutOff: true, steps: []lentStep{{step: first, release: "v1"}, {step: rest, release: "v1"}}}
		return fixture
	}, lentResumedAfter},
}

// joinedText returns the text of all parts.
func joinedText(parts []part) string {
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.text)
	}
	return text.String()
}

// reads returns parts without delays, each of which is read at once.
func reads(texts ...string) []part {
	var parts []part
	for _, text := range texts {
		parts = append(parts, part{0, text})
	}
	return parts
}

// TestStreamWithCommentsGoesOnAfterItsLastEvent guards against issue 77 (review/11): where a comment was read together with the event
// before it, the stream went on from its first event, and its client got all events again.
func TestStreamWithCommentsGoesOnAfterItsLastEvent(t *testing.T) {
	cases := []struct {
		name  string
		parts []part
	}{
		{"a comment after each event", reads(events(1, 1)+heartbeat, events(2, 2)+heartbeat)},
		{"comments after several events", reads(events(1, 2) + heartbeat + heartbeat)},
		{"a comment that is read alone", reads(events(1, 2), heartbeat)},
		{"a comment before and after the event", reads(heartbeat+events(1, 1), events(2, 2)+heartbeat)},
		{"a comment within the event", reads(events(1, 1), "id: 2\n: heartbeat\ndata: x\n\n"+heartbeat)},
		{"blank lines after the event", reads(events(1, 2) + "\n\n")},
		{"a blank line that is read with the next event", reads(events(1, 1), "\n"+events(2, 2))},
		{"a blank line between events", reads(events(1, 1) + "\n" + events(2, 2))},
		{"an event without a number before the last one", reads(events(1, 1)+"data: c\n\n", events(2, 2))},
		{"an event without a number before the first one", reads("data: a\n\n" + events(1, 2))},
		{"a time to connect again after the last one", reads(events(1, 2) + "retry: 100\n\n")},
	}
	for _, way := range waysToGoOn {
		for _, c := range cases {
			t.Run(way.name+", "+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fixture := way.prepare(c.parts, ok(events(1, 4)))
					failure := fixture.serve(t.Context(), "/resume/x")
					if after, resumed := way.resumedAfter(fixture); !resumed || after != exchange.NewEventID(2) {
						t.Errorf("goes on after event %v, resumed %v", after, resumed)
					}
					if got, want := fixture.client.body.String(), joinedText(c.parts)+events(3, 4); failure != nil || got != want {
						t.Errorf("ended as %v with %q", failure, got)
					}
				})
			})
		}
	}
}

// TestResumedStreamWithOddLinesIsPassedOn guards against issue 77: an event after a blank line of its own, and a time to connect again,
// counted as events without a number, for which a resumed stream is ended.
func TestResumedStreamWithOddLinesIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rest := reads("retry: 100\n\n"+heartbeat+events(3, 3), "\n"+events(4, 4))
		fixture := newFixture(answered(200, events(1, 2), errors.New("reset")), parted(io.EOF, rest...))
		failure := fixture.serve(t.Context(), "/resume/x")
		if got := fixture.client.body.String(); failure != nil || got != events(1, 2)+joinedText(rest) {
			t.Errorf("ended as %v with %q", failure, got)
		}
	})
}

// TestStreamGoesOnAfterEventZero guards against issue 77 (review/14): the number zero of a last event counted as none, so that the stream
// went on from its first event, and its client got that one twice.
func TestStreamGoesOnAfterEventZero(t *testing.T) {
	for _, way := range waysToGoOn {
		for name, rest := range map[string]string{"the rest": events(1, 3), "the whole stream again": events(0, 3)} {
			t.Run(way.name+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fixture := way.prepare(reads(events(0, 0)), ok(rest))
					failure := fixture.serve(t.Context(), "/resume/x")
					if after, resumed := way.resumedAfter(fixture); !resumed || after != exchange.NewEventID(0) {
						t.Errorf("goes on after event %v, resumed %v", after, resumed)
					}
					if got := fixture.client.body.String(); failure != nil || got != events(0, 3) {
						t.Errorf("ended as %v with %q", failure, got)
					}
				})
			})
		}
	}
}

// TestStreamWithoutNumbersDoesNotGoOn guards against issue 77: a stream of events without numbers went on from its first event after a
// break, so that its client got all events again. Nothing tells where such a stream would go on.
func TestStreamWithoutNumbersDoesNotGoOn(t *testing.T) {
	for name, parts := range map[string][]part{
		"no event has a number":         reads("data: a\n\n", "data: b\n\n"),
		"IDs that are no numbers":       reads("id: a\ndata: x\n\n", "id: b\ndata: x\n\n"),
		"the last event has no number":  reads(events(1, 2) + "data: c\n\n"),
		"no number, and then a comment": reads("data: a\n\n" + heartbeat),
	} {
		for _, way := range waysToGoOn {
			t.Run(way.name+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fixture := way.prepare(parts, ok(joinedText(parts)+events(3, 4)))
					failure := fixture.serve(t.Context(), "/resume/x")
					if after, resumed := way.resumedAfter(fixture); resumed {
						t.Errorf("goes on after event %v", after)
					}
					if got := fixture.client.body.String(); failure == nil || failure.Kind == outcome.AnswerInvalid || got != joinedText(parts) {
						t.Errorf("ended as %v with %q", failure, got)
					}
				})
			})
		}
	}
}

// TestStreamWithCarriageReturnsIsPassedOn is for streams whose lines end with a carriage return and a line feed, as text/event-stream
// allows.
func TestStreamWithCarriageReturnsIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text := strings.ReplaceAll(events(1, 2), "\n", "\r\n")
		fixture := newFixture(ok(text), ok(text))
		failure := fixture.serve(t.Context(), "/resume/x")
		if got := fixture.client.body.String(); failure != nil || got != text {
			t.Errorf("ended as %v with %q", failure, got)
		}
	})
}
