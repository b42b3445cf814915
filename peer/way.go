package peer

// Mode is a form of exchange. Changes that are urgent go to every peer of the
// data centre at once in any way.
type Mode int

// The ways of exchange.
const (
	// BySize is Mesh in small data centres and Digests in large ones.
	BySize Mode = iota
	// FullMesh exchanges with every peer of the data centre in each interval.
	FullMesh
	// Gossip exchanges with a few random peers in each interval and passes on what it knows of others.
	Gossip
)

// mostMesh is the largest number of peers for which BySize is Mesh.
const mostMesh = 16

// among returns the way to go among a number of peers.
func (way Mode) among(peers int) Mode {
	if way != BySize {
		return way
	}
	if peers > mostMesh {
		return Gossip
	}
	return FullMesh
}
