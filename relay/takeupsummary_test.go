package relay

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/origin"
)

// TestSummaryNamesWhatIsTakenUp guards against issue 43: the log told neither how long the origin of a stream was known nor what
// followed.
func TestSummaryNamesWhatIsTakenUp(t *testing.T) {
	began := origin.Origin{Service: "engine", Release: "v1"}
	for name, c := range map[string]struct {
		known map[string]origin.Origin
		want  TakeUp
	}{
		"known":   {map[string]origin.Origin{"first": began}, TakeUp{began, origin.Own, time.Second}},
		"unknown": {nil, TakeUp{origin.Origin{}, origin.Unknown, time.Second}},
	} {
		fixture := newFixture(ok(events(3, 4)))
		fixture.setReleases(takeUpReleases)
		fixture.origins.known = c.known
		request := fixture.request("/resume/x")
		request.Metadata.Resumes, request.Metadata.LastEventID = "first", exchange.NewEventID(2)
		if summary, _ := fixture.relay.Serve(t.Context(), request, &fixture.client); summary.TakeUp == nil || *summary.TakeUp != c.want {
			t.Errorf("%s: the summary names %+v, want %+v", name, summary.TakeUp, c.want)
		}
	}
	fixture := newFixture(ok(events(1, 4)))
	if summary, failure := fixture.relay.Serve(t.Context(), fixture.request("/resume/x"), &fixture.client); summary.TakeUp != nil {
		t.Errorf("a new stream that ended as %v counts as taken up", failure)
	}
}
