package mesh

import (
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

// Loads maps places to requests in flight.
type Loads map[demand.Place]int

func (loads Loads) encode() []*meshpb.Load {
	encoded := make([]*meshpb.Load, 0, len(loads))
	for place, running := range loads {
		encoded = append(encoded, &meshpb.Load{
			Place: &meshpb.Place{
				Replica: place.ID,
				Born:    place.Born,
				Service: place.Service,
				Model:   place.Model,
				Adapter: place.Adapter,
			},
			Running: uint32(running),
		})
	}
	return encoded
}

func decodeLoads(encoded []*meshpb.Load) Loads {
	loads := make(Loads, len(encoded))
	for _, load := range encoded {
		place := load.GetPlace()
		loads[demand.Place{
			Incarnation: topology.Incarnation{ID: place.GetReplica(), Born: place.GetBorn()},
			Key:         demand.Key{Service: place.GetService(), Model: place.GetModel(), Adapter: place.GetAdapter()},
		}] = int(load.GetRunning())
	}
	return loads
}
