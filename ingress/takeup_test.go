package ingress

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

// TestTakeUpIsSeen guards against issue 43: nothing told what followed when a client took a stream up.
func TestTakeUpIsSeen(t *testing.T) {
	var logged bytes.Buffer
	klog.SetOutput(&logged)
	defer klog.SetOutput(io.Discard)
	ingress := New(Deps{Meter: meter.New(), Clock: clock.RealClock{}})
	request := &exchange.Request{Metadata: exchange.Metadata{ID: "next", Resumes: strings.Repeat("f", 10_000), LastEventID: exchange.NewEventID(7)}}
	taken := relay.Summary{
		TakeUp:  &relay.TakeUp{Origin: origin.Origin{Service: "s", Release: "v1"}, Source: origin.Daemon, Age: time.Second},
		Replica: topology.Incarnation{ID: "r"},
	}
	ingress.record(request, &sink{clock: clock.RealClock{}}, taken, nil)
	ingress.record(request, &sink{clock: clock.RealClock{}}, taken, outcome.New(outcome.NoReplica, "gone"))
	ingress.record(request, &sink{clock: clock.RealClock{}}, relay.Summary{}, nil)
	klog.Flush()
	var lines []string
	for line := range strings.Lines(logged.String()) {
		if strings.Contains(line, "StreamTakenUp") {
			lines = append(lines, line)
		}
	}
	if len(lines) != 2 {
		t.Fatalf("%d take-ups are logged, want 2", len(lines))
	}
	for index, ended := range []string{"Answered", "NoReplica"} {
		for _, want := range []string{`Request="next"`, `LastEvent=7`, `Service="s"`, `Begun="v1"`, `Source="Daemon"`, `Age="1s"`, `Replica="r"`, `Outcome="` + ended + `"`} {
			if !strings.Contains(lines[index], want) {
				t.Errorf("the line lacks %s: %s", want, lines[index])
			}
		}
		if len(lines[index]) > 500 {
			t.Errorf("a line has %d bytes", len(lines[index]))
		}
	}
	for _, counted := range ingress.deps.Meter.CountsByKind(meter.TakeUpsEnded) {
		if counted.Count != 1 {
			t.Errorf("%d take-ups ended as %s, want 1", counted.Count, counted.Kind)
		}
	}
}
