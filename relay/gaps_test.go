package relay

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/pace"
)

// TestGapsOfAStream guards against late pauses that are missed or counted twice, and against means of few gaps.
func TestGapsOfAStream(t *testing.T) {
	const target = 300 * time.Millisecond
	var stream gaps
	stream.begin(time.Second)
	lates, means := 0, 0
	for _, at := range []time.Duration{1050, 1100, 1500, 1550, 1950, 2050, 2100} {
		mean, late := stream.observe(at*time.Millisecond, target)
		if late {
			lates++
		}
		if mean > 0 {
			means++
			if mean != 175*time.Millisecond {
				t.Errorf("the mean is %v", mean)
			}
		}
	}
	if lates != 1 || means != 1 {
		t.Errorf("%d late pauses and %d means are reported", lates, means)
	}
	if rest := stream.rest(); rest != 0 {
		t.Errorf("one gap has the mean %v", rest)
	}
}

// TestStreamsAreObserved guards against requests whose results the balancer does not learn, and against rejections that count as starts.
func TestStreamsAreObserved(t *testing.T) {
	fixture := newFixture(ok(events(1, 3)), rejected(false), ok(events(1, 3)))
	for _, path := range []string{"/stream/x", "/resume/x"} {
		fixture.client = client{}
		if failure := fixture.serve(t.Context(), path); failure != nil {
			t.Fatal(failure)
		}
	}
	var sum pace.Sums
	for _, observed := range fixture.relay.deps.Balancer.TakeObservations(time.Now()) {
		sum.Good += observed.Good
		sum.Rejected += observed.Rejected
		sum.Pauses[0].Streams += observed.Pauses[0].Streams
		if observed.Service != "engine" || observed.Slots != 4 || observed.Pauses[0].Target != 250*time.Millisecond {
			t.Errorf("observed %+v", observed)
		}
	}
	if sum.Good != 2 || sum.Rejected != 1 || sum.Pauses[0].Streams != 2 {
		t.Errorf("observed %+v in all", sum)
	}
}
