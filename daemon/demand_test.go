package daemon

import (
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/meter"
)

// TestIntervalAsksWithoutItsLock takes the lock of demand while it asks for the number of daemons, as
// a dispatcher does that asks for a forecast while the node tells of its loads.
func TestIntervalAsksWithoutItsLock(t *testing.T) {
	var made *demand
	asked := false
	made = newDemand(nil, newArrivals(nil, meter.New()), clock.RealClock{}, time.Second, func() int {
		asked = true
		if !made.lock.TryLock() {
			t.Error("the lock of demand is held while it asks")
			return 1
		}
		made.lock.Unlock()
		return 72
	})
	made.Report(dispatch.DemandReport{Target: catalogue.Target{Model: "m"}, Waiting: 1})
	if got := made.interval(); got != 360*time.Millisecond || !asked {
		t.Errorf("interval is %s at 72 daemons, want 360ms", got)
	}
}
