package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// Member is one daemon.
type Member struct {
	// Name is the name of its VM.
	Name string
	// Address is the IP address and port for other daemons.
	Address string
	// DataCentre is where it stands.
	DataCentre string
}

func (member Member) encode() *meshpb.Peer {
	return &meshpb.Peer{Name: member.Name, Address: member.Address, DataCentre: member.DataCentre}
}

// State is what a daemon tells of itself.
type State struct {
	// Configuration and Roster are the versions that it has.
	Configuration, Roster uint64
	// StoreAge is the time since it last heard from the platform's store.
	StoreAge time.Duration
	// Fence is its fencing token if it holds the lease, or zero.
	Fence uint64
	// Leaving states that it is stopping.
	Leaving bool
	// Loads are its requests in flight.
	Loads Loads
}

// Known is what is known of another daemon.
type Known struct {
	Member
	State
	// Heard is when the state was received.
	Heard time.Time
}
