package mesh

import (
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// InFlightCounts maps models or adapters at replicas to their numbers of requests in flight.
type InFlightCounts map[demand.ReplicaKey]demand.InFlight

func (counts InFlightCounts) encode() []*meshpb.Load {
	encoded := make([]*meshpb.Load, 0, len(counts))
	for key, inFlight := range counts {
		encoded = append(encoded, &meshpb.Load{
			Place: &meshpb.Place{
				Replica: key.ID,
				Born:    key.Started,
				Service: key.Service,
				Model:   key.Model,
				Adapter: key.Adapter,
			},
			Running: uint32(inFlight.Running),
			Waiting: encodeWaiting(inFlight),
		})
	}
	return encoded
}

func decodeInFlightCounts(encoded []*meshpb.Load) InFlightCounts {
	counts := make(InFlightCounts, len(encoded))
	for _, load := range encoded {
		place := load.GetPlace()
		counts[demand.ReplicaKey{
			Incarnation: decodeIncarnation(place),
			Key:         demand.Key{Service: place.GetService(), Model: place.GetModel(), Adapter: place.GetAdapter()},
		}] = decodeInFlight(load)
	}
	return counts
}

// encodeWaiting returns the counts by priority without trailing zeros.
func encodeWaiting(inFlight demand.InFlight) []uint32 {
	var waiting []uint32
	for priority, count := range inFlight.Waiting {
		if count > 0 {
			waiting = append(waiting, make([]uint32, priority-len(waiting))...)
			waiting = append(waiting, uint32(count))
		}
	}
	return waiting
}

func decodeInFlight(load *meshpb.Load) demand.InFlight {
	inFlight := demand.InFlight{Running: int(load.GetRunning())}
	for priority, count := range load.GetWaiting() {
		if priority < demand.Priorities {
			inFlight.Waiting[priority] = int(count)
		}
	}
	return inFlight
}
