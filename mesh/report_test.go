package mesh

import (
	"math"
	"testing"
	"time"

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
