package mesh

import (
	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/topology"
)

// mostLeaving bounds the runs of replicas that are taken from one greeting.
const mostLeaving = 256

func encodeRuns(runs []topology.Incarnation) []*meshpb.Run {
	encoded := make([]*meshpb.Run, 0, len(runs))
	for _, run := range runs {
		encoded = append(encoded, &meshpb.Run{Replica: run.ID, Born: run.Started})
	}
	return encoded
}

func decodeRuns(encoded []*meshpb.Run) []topology.Incarnation {
	runs := make([]topology.Incarnation, 0, len(encoded))
	for _, run := range encoded[:min(len(encoded), mostLeaving)] {
		runs = append(runs, topology.Incarnation{ID: run.GetReplica(), Started: run.GetBorn()})
	}
	return runs
}
