package relay

import (
	"io"
	"math"
	"strings"
	"sync"
	"testing"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/outcome"
)

// TestOddTakeUps guards against issue 43: clients name streams that are not theirs, that ended or that never were. Whatever they name,
// they get the replica's answer to their own request from the release that began the stream, or a refusal.
func TestOddTakeUps(t *testing.T) {
	begun := map[string]origin.Origin{"first": {Service: "engine", Release: "v1"}, "next": {Service: "engine", Release: "v1"}, "plain": {Service: "plain", Release: "v1"}}
	asStream := func(text string) step {
		next := answered(200, text, io.EOF)
		next.reply.EventStream = true
		return next
	}
	unframed := asStream("")
	unframed.reply.Unframed = true
	refused := answered(400, "no such event", io.EOF)
	cases := []struct {
		name, path string
		change     func(metadata *exchange.Metadata)
		answer     step
		// body is what the client gets; if refused is set, no replica gets the request.
		body    string
		refused bool
	}{
		{"of another route of the service", "/stream/x", func(*exchange.Metadata) {}, asStream(events(3, 4)), events(3, 4), false},
		{"of another service", "/resume/x", func(metadata *exchange.Metadata) { metadata.Resumes = "plain" }, asStream(events(3, 4)), "", true},
		{"of another prompt, as of another client account", "/resume/x", func(metadata *exchange.Metadata) { metadata.Prefix = []exchange.Part{{ID: "theirs", Tokens: 9}} }, asStream(events(3, 4)), events(3, 4), false},
		{"that ended whole", "/resume/x", func(metadata *exchange.Metadata) { metadata.LastEventID = exchange.NewEventID(4) }, asStream(""), "", false},
		{"behind the end", "/resume/x", func(metadata *exchange.Metadata) { metadata.LastEventID = exchange.NewEventID(math.MaxInt64) }, asStream(""), "", false},
		{"that ended whole after event zero, with its connection", "/resume/x", func(metadata *exchange.Metadata) { metadata.LastEventID = exchange.NewEventID(0) }, unframed, "", false},
		{"behind the end, which the replica refuses", "/resume/x", func(metadata *exchange.Metadata) { metadata.LastEventID = exchange.NewEventID(math.MaxInt64) }, refused, "no such event", false},
		{"after an event that cannot be read", "/resume/x", func(metadata *exchange.Metadata) {
			metadata.LastEventID, metadata.UnreadableEvent = exchange.EventID{}, true
		}, asStream(events(3, 4)), events(3, 4), false},
		{"none, after an event that cannot be read", "/resume/x", func(metadata *exchange.Metadata) {
			metadata.Resumes, metadata.LastEventID, metadata.UnreadableEvent = "", exchange.EventID{}, true
		}, asStream(events(3, 4)), "", true},
		{"itself, which began before", "/resume/x", func(metadata *exchange.Metadata) { metadata.Resumes = metadata.ID }, asStream(events(3, 4)), events(3, 4), false},
		{"one that names it too", "/resume/x", func(metadata *exchange.Metadata) { metadata.ID, metadata.Resumes = "a", "b" }, asStream(events(3, 4)), "", true},
		{"with an ID of 10 KB", "/resume/x", func(metadata *exchange.Metadata) { metadata.Resumes = strings.Repeat("f", 10<<10) }, asStream(events(3, 4)), "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fixture := newFixture(c.answer)
			fixture.setReleases(takeUpReleases)
			fixture.origins.known = begun
			request := fixture.request(c.path)
			request.Metadata.ID, request.Metadata.Resumes, request.Metadata.LastEventID = "next", "first", exchange.NewEventID(2)
			c.change(&request.Metadata)
			_, failure := fixture.relay.Serve(t.Context(), request, &fixture.client)
			attempts := fixture.upstream.attempts
			if c.refused {
				if failure == nil || failure.Kind != outcome.OriginUnknown || failure.RetryAfter == 0 || len(attempts) > 0 {
					t.Errorf("ended as %v after %d attempts", failure, len(attempts))
				}
				return
			}
			if failure != nil || len(attempts) != 1 || attempts[0].Replica.ID != "a" || fixture.client.body.String() != c.body {
				t.Errorf("ended as %v with %q after the attempts %+v", failure, fixture.client.body.String(), attempts)
			}
		})
	}
}

// TestStreamTakenUpTwiceAtOnce guards against issue 43: a client that gave up an attempt without closing it takes the stream up again.
// Both attempts go to the release that began the stream, and neither counts as the begin of one.
func TestStreamTakenUpTwiceAtOnce(t *testing.T) {
	fixture := newFixture()
	fixture.relay.deps.Upstream = streamers{}
	fixture.setReleases(takeUpReleases)
	fixture.origins.known["first"] = origin.Origin{Service: "engine", Release: "v1"}
	var attempts sync.WaitGroup
	for _, id := range []string{"next", "again"} {
		attempts.Go(func() {
			request := fixture.request("/resume/x")
			request.Metadata.ID, request.Metadata.Resumes, request.Metadata.LastEventID = id, "first", exchange.NewEventID(rolloutEvents-1)
			var received client
			summary, failure := fixture.relay.Serve(t.Context(), request, &received)
			if failure != nil || summary.Replica.ID != "a" || received.body.String() != events(rolloutEvents, rolloutEvents) {
				t.Errorf("%s ended as %v at %s with %q", id, failure, summary.Replica.ID, received.body.String())
			}
		})
	}
	attempts.Wait()
	if len(fixture.origins.known) != 1 {
		t.Errorf("streams that began are %v", fixture.origins.known)
	}
}
