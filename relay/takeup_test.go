package relay

import (
	"testing"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/outcome"
)

// takeUpReleases are the engines in tests of streams that are taken up.
var takeUpReleases = map[string]string{"a": "v1", "b": "v2"}

// takeUp serves a request that goes on with the stream that attempt "first" began.
func (fixture *fixture) takeUp(t *testing.T, change func(metadata *exchange.Metadata)) *outcome.Error {
	t.Helper()
	request := fixture.request("/resume/x")
	request.Metadata.ID, request.Metadata.Resumes, request.Metadata.LastEventID = "next", "first", exchange.NewEventID(2)
	change(&request.Metadata)
	_, failure := fixture.relay.Serve(t.Context(), request, &fixture.client)
	return failure
}

// TestStreamIsTakenUpOnlyAtTheReleaseThatBeganIt guards against issue 42: a stream that its client took up went on at any
// replica that holds the model.
func TestStreamIsTakenUpOnlyAtTheReleaseThatBeganIt(t *testing.T) {
	keep := func(*exchange.Metadata) {}
	cases := []struct {
		name   string
		known  map[string]origin.Origin
		change func(metadata *exchange.Metadata)
		// replica is the one that must get the request; empty if it must be refused with failure.
		replica string
		failure outcome.Kind
	}{
		{"begun by the older release", map[string]origin.Origin{"first": {Service: "engine", Release: "v1"}}, keep, "a", 0},
		{"begun by the newer release", map[string]origin.Origin{"first": {Service: "engine", Release: "v2"}}, keep, "b", 0},
		{"begun by a release that left", map[string]origin.Origin{"first": {Service: "engine", Release: "v0"}}, keep, "", outcome.NoReplica},
		{"begun by another service", map[string]origin.Origin{"first": {Service: "plain", Release: "v1"}}, keep, "", outcome.OriginUnknown},
		{"an attempt that never was", nil, keep, "", outcome.OriginUnknown},
		{"no event named", nil, func(metadata *exchange.Metadata) { metadata.LastEventID = exchange.EventID{} }, "", outcome.OriginUnknown},
		{"no attempt named", nil, func(metadata *exchange.Metadata) { metadata.Resumes = "" }, "", outcome.OriginUnknown},
		{"no attempt named, after event zero", nil, func(metadata *exchange.Metadata) {
			metadata.Resumes, metadata.LastEventID = "", exchange.NewEventID(0)
		}, "", outcome.OriginUnknown},
		{"itself named", nil, func(metadata *exchange.Metadata) { metadata.Resumes = metadata.ID }, "", outcome.OriginUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fixture := newFixture(ok(events(3, 4)))
			fixture.setReleases(takeUpReleases)
			fixture.origins.known = c.known
			failure := fixture.takeUp(t, c.change)
			if c.replica == "" {
				if failure == nil || failure.Kind != c.failure || failure.RetryAfter == 0 || len(fixture.upstream.attempts) > 0 {
					t.Errorf("ended as %v after %d attempts", failure, len(fixture.upstream.attempts))
				}
				return
			}
			if failure != nil || len(fixture.upstream.attempts) != 1 || fixture.upstream.attempts[0].Replica.ID != c.replica {
				t.Errorf("ended as %v, attempts %+v", failure, fixture.upstream.attempts)
			}
		})
	}
}

// TestOriginIsRecordedBeforeTheFirstEvent checks that a stream is recorded under the attempt that began it, and that one that
// breaks off is reported.
func TestOriginIsRecordedBeforeTheFirstEvent(t *testing.T) {
	fixture := newFixture(answered(200, events(1, 2), errBroken), lost, lost)
	fixture.setReleases(map[string]string{"a": "v1"})
	if failure := fixture.serve(t.Context(), "/resume/x"); failure == nil {
		t.Error("a stream that broke off counts as complete")
	}
	if got := fixture.origins.known["1"]; got != (origin.Origin{Service: "engine", Release: "v1"}) {
		t.Errorf("the origin is %+v", got)
	}
	if len(fixture.origins.broke) != 1 {
		t.Errorf("broken streams are %v", fixture.origins.broke)
	}
}
