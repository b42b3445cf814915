package mesh

import (
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

// maxLeaving bounds the runs of replicas that are taken from one greeting.
const maxLeaving = 256

func encodeIncarnations(runs []topology.Incarnation) []*meshpb.Run {
	encoded := make([]*meshpb.Run, 0, len(runs))
	for _, run := range runs {
		encoded = append(encoded, &meshpb.Run{Replica: run.ID, Born: run.Born})
	}
	return encoded
}

func decodeIncarnations(encoded []*meshpb.Run) []topology.Incarnation {
	runs := make([]topology.Incarnation, 0, len(encoded))
	for _, run := range encoded[:min(len(encoded), maxLeaving)] {
		runs = append(runs, topology.Incarnation{ID: run.GetReplica(), Born: run.GetBorn()})
	}
	return runs
}
