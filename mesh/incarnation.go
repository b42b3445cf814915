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
		incarnations = append(incarnations, decodeIncarnation(incarnation))
	}
	return incarnations
}

// incarnationMessage is a message that names an incarnation of a replica.
type incarnationMessage interface {
	GetReplica() string
	GetBorn() int64
}

// decodeIncarnation returns the incarnation that the message names.
func decodeIncarnation(encoded incarnationMessage) topology.Incarnation {
	return topology.Incarnation{ID: encoded.GetReplica(), Started: encoded.GetBorn()}
}
