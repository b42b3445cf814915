package mesh

import (
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

// Loads maps places to requests in flight.
type Loads map[demand.ReplicaKey]demand.InFlight

func (loads Loads) encode() []*meshpb.Load {
	encoded := make([]*meshpb.Load, 0, len(loads))
	for place, flight := range loads {
		encoded = append(encoded, &meshpb.Load{
			Place: &meshpb.Place{
				Replica: place.ID,
				Born:    place.Started,
				Service: place.Service,
				Model:   place.Model,
				Adapter: place.Adapter,
			},
			Running: uint32(flight.Running),
			Waiting: encodeWaiting(flight),
		})
	}
	return encoded
}

func decodeLoads(encoded []*meshpb.Load) Loads {
	loads := make(Loads, len(encoded))
	for _, load := range encoded {
		place := load.GetPlace()
		loads[demand.ReplicaKey{
			Incarnation: topology.Incarnation{ID: place.GetReplica(), Started: place.GetBorn()},
			Key:         demand.Key{Service: place.GetService(), Model: place.GetModel(), Adapter: place.GetAdapter()},
		}] = decodeFlight(load)
	}
	return loads
}

// encodeWaiting returns the counts by rank without the zeros at the end.
func encodeWaiting(flight demand.InFlight) []uint32 {
	var waiting []uint32
	for rank, count := range flight.Waiting {
		if count > 0 {
			waiting = append(waiting, make([]uint32, rank-len(waiting))...)
			waiting = append(waiting, uint32(count))
		}
	}
	return waiting
}

func decodeFlight(load *meshpb.Load) demand.InFlight {
	flight := demand.InFlight{Running: int(load.GetRunning())}
	for rank, count := range load.GetWaiting() {
		if rank < demand.Priorities {
			flight.Waiting[rank] = int(count)
		}
	}
	return flight
}
