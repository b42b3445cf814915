package mesh

import (
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

// InFlightCounts maps models or adapters at replicas to their numbers of requests in flight.
type InFlightCounts map[demand.ReplicaKey]demand.InFlight

func (counts InFlightCounts) encode() []*meshpb.Load {
	encoded := make([]*meshpb.Load, 0, len(counts))
	for place, inFlight := range counts {
		encoded = append(encoded, &meshpb.Load{
			Place: &meshpb.Place{
				Replica: place.ID,
				Born:    place.Started,
				Service: place.Service,
				Model:   place.Model,
				Adapter: place.Adapter,
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
			Incarnation: topology.Incarnation{ID: place.GetReplica(), Started: place.GetBorn()},
			Key:         demand.Key{Service: place.GetService(), Model: place.GetModel(), Adapter: place.GetAdapter()},
		}] = decodeInFlight(load)
	}
	return counts
}

// encodeWaiting returns the counts by priority without trailing zeros.
func encodeWaiting(inFlight demand.InFlight) []uint32 {
	var waiting []uint32
	for rank, count := range inFlight.Waiting {
		if count > 0 {
			waiting = append(waiting, make([]uint32, rank-len(waiting))...)
			waiting = append(waiting, uint32(count))
		}
	}
	return waiting
}

func decodeInFlight(load *meshpb.Load) demand.InFlight {
	inFlight := demand.InFlight{Running: int(load.GetRunning())}
	for rank, count := range load.GetWaiting() {
		if rank < demand.Priorities {
			inFlight.Waiting[rank] = int(count)
		}
	}
	return inFlight
}
