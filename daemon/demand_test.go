package daemon

import (
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/peer"
)

// TestIntervalCountsDaemonsWithoutItsLock takes the lock of demand while interval counts the daemons. If
// interval held it, it could deadlock with a dispatcher that requests a forecast while the node reads its
// loads.
func TestIntervalCountsDaemonsWithoutItsLock(t *testing.T) {
	var reporter *demand
	counted := false
	reporter = newDemand(nil, newArrivals(nil, meter.New()), clock.RealClock{}, time.Second, func() int {
		counted = true
		if !reporter.lock.TryLock() {
			t.Error("the lock of demand is held while the daemons are counted")
			return 1
		}
		reporter.lock.Unlock()
		return 72
	})
	reporter.Report(dispatch.DemandReport{Target: catalogue.Target{Model: "m"}, Waiting: 1})
	if got := reporter.interval(); got != 360*time.Millisecond || !counted {
		t.Errorf("interval is %s at 72 daemons, want 360ms", got)
	}
}

// TestForecastOutlivesOneOfItsTargets covers a model of which one adapter has no request any more while another still waits.
func TestForecastOutlivesOneOfItsTargets(t *testing.T) {
	reporter := newDemand(nil, newArrivals(nil, meter.New()), clock.RealClock{}, time.Second, func() int { return 1 })
	reporter.reports[catalogue.Target{Model: "m", Adapter: "waits"}] = dispatch.DemandReport{Waiting: 1}
	reporter.reports[catalogue.Target{Model: "m", Adapter: "ended"}] = dispatch.DemandReport{}
	reporter.forecasts["m"] = forecast{}
	reporter.removeFinished([]peer.TargetDemand{{Model: "m", Adapter: "ended"}})
	if _, known := reporter.forecasts["m"]; !known {
		t.Error("the forecast is gone although a request waits for the model")
	}
	reporter.reports[catalogue.Target{Model: "m", Adapter: "waits"}] = dispatch.DemandReport{}
	reporter.removeFinished([]peer.TargetDemand{{Model: "m", Adapter: "waits"}})
	if len(reporter.forecasts)+len(reporter.reports) > 0 {
		t.Error("something is kept of a model without requests")
	}
}
