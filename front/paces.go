package front

import (
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// paceMilli is the factor by which speeds and chances are multiplied in metrics.
const paceMilli = 1000

// updatePaces logs the windows that this daemon alone knows, and sets the metrics of the paces of replicas. last has those of the former
// call; the current ones are returned.
func (daemon *Daemon) updatePaces(now time.Time, last map[topology.Incarnation]pace.Value) map[topology.Incarnation]pace.Value {
	for _, change := range daemon.balancer.PaceChanges(now) {
		event.ReplicaPacedAlone.Log("Replica", change.ID, "Service", change.Service, "Window", change.Window, "Cause", change.Cause.String())
	}
	current := daemon.balancer.Paces()
	counts := map[pace.Cause]int64{}
	for incarnation := range last {
		if _, ok := current[incarnation]; !ok {
			daemon.showPace(incarnation.ID, pace.Value{})
		}
	}
	for incarnation, value := range current {
		daemon.showPace(incarnation.ID, value)
		counts[value.Cause]++
	}
	for cause := pace.Cold; cause <= pace.Slow; cause++ {
		daemon.meter.Set(meter.ReplicasPaced, meter.Labels{Subject: cause.String()}, counts[cause])
	}
	return current
}

// showPace sets the metrics of one replica.
func (daemon *Daemon) showPace(id string, value pace.Value) {
	highest := 0.0
	for _, chance := range value.Chances {
		highest = max(highest, chance.Late)
	}
	labels := meter.Labels{Subject: id}
	daemon.meter.Set(meter.ReplicaSpeed, labels, int64(value.RelativeSpeed()*paceMilli))
	daemon.meter.Set(meter.ReplicaLatePauses, labels, int64(highest*paceMilli))
	daemon.meter.Set(meter.ReplicaWindow, labels, int64(value.Window))
}
