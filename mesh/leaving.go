package mesh

import (
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

// maxLeaving bounds the leaving replicas that are accepted from one greeting.
const maxLeaving = 256

func encodeIncarnations(incarnations []topology.Incarnation) []*meshpb.Run {
	encoded := make([]*meshpb.Run, 0, len(incarnations))
	for _, incarnation := range incarnations {
		encoded = append(encoded, &meshpb.Run{Replica: incarnation.ID, Born: incarnation.Started})
	}
	return encoded
}

func decodeIncarnations(encoded []*meshpb.Run) []topology.Incarnation {
	incarnations := make([]topology.Incarnation, 0, len(encoded))
	for _, incarnation := range encoded[:min(len(encoded), maxLeaving)] {
		incarnations = append(incarnations, topology.Incarnation{ID: incarnation.GetReplica(), Started: incarnation.GetBorn()})
	}
	return incarnations
}
