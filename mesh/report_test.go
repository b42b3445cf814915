package mesh

import (
	"math"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// TestWaitOfReportIsBounded covers a daemon that asks another one to hold its response for longer than any daemon does.
func TestWaitOfReportIsBounded(t *testing.T) {
	for asked, want := range map[uint64]time.Duration{0: 0, 700: 700 * time.Millisecond, 3_600_000: maxWait, math.MaxUint64: maxWait} {
		if got := decodeReport(&meshpb.Report{Wait: asked}, time.Now()).Wait; got != want {
			t.Errorf("a report that asks for %d ms waits %v, want %v", asked, got, want)
		}
	}
}

// TestRiseAndRefusedInReports checks that both are passed on, and that a build without them reports neither rise nor fall.
func TestRiseAndRefusedInReports(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, rise := range []float64{-8, -1, 0, 4} {
		sent := Report{Demand: []demand.KeyDemand{{Rate: 8, Rise: rise, Refused: 2}}}
		got := decodeReport(sent.encode(now), now).Demand[0]
		if math.Abs(got.Rise-rise) > 0.01 || got.Refused != 2 {
			t.Errorf("got %+v for a rise of %v", got, rise)
		}
	}
	if got := decodeReport(&meshpb.Report{Wants: []*meshpb.Want{{Rate: 8000}}}, now).Demand[0]; got.Rise != 0 || got.Refused != 0 {
		t.Errorf("got %+v of a build without rise", got)
	}
}
