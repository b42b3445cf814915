package peer

// Mode is how records are exchanged within a data centre. In every mode, urgent changes are sent to all peers of
// the data centre at once.
type Mode int

// The modes of exchange.
const (
	// BySize selects FullMesh in small data centres and Gossip in large ones.
	BySize Mode = iota
	// FullMesh exchanges with every peer of the data centre in each interval.
	FullMesh
	// Gossip exchanges with a few random peers in each interval and relays the records of other daemons.
	Gossip
)

// maxFullMeshPeers is the largest number of peers for which BySize selects FullMesh.
const maxFullMeshPeers = 16

// resolve returns the mode to use with the number of peers: FullMesh or Gossip.
func (mode Mode) resolve(peers int) Mode {
	if mode != BySize {
		return mode
	}
	if peers > maxFullMeshPeers {
		return Gossip
	}
	return FullMesh
}
