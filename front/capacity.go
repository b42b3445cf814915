package front

import (
	"strconv"

	"github.com/bronzestall/bronzestall/meter"
)

// updateCapacityMetrics sets the metrics of the requests that wait for capacity. A priority is shown once a request of it waited.
func (daemon *Daemon) updateCapacityMetrics(shown map[int]bool) {
	state := daemon.relay.Capacity()
	for priority, waiting := range state.Waiting {
		shown[priority] = shown[priority] || waiting > 0
		if shown[priority] {
			daemon.meter.Set(meter.CapacityWaiting, meter.Labels{Kind: strconv.Itoa(priority)}, int64(waiting))
		}
	}
	for cause, refused := range state.Refused {
		daemon.meter.Set(meter.CapacityRefused, meter.Labels{Kind: string(cause)}, int64(refused))
	}
	daemon.meter.Set(meter.CapacityWaits, meter.Labels{}, state.Waits)
	daemon.meter.Set(meter.CapacityWaited, meter.Labels{}, state.Waited.Milliseconds())
}
