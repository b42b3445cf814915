package mesh

import (
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// Member identifies one daemon.
type Member struct {
	// Name is the name of its VM.
	Name string
	// Address is its IP address and port for other daemons.
	Address string
	// DataCentre is the name of its data centre.
	DataCentre string
}

// State is what a daemon announces about itself.
type State struct {
	// ConfigurationVersion and RosterVersion are the versions of the configuration and of the replica table
	// that it has.
	ConfigurationVersion uint64
	RosterVersion        datastore.Version
	// StoreAge is the time since the platform's store last answered it.
	StoreAge time.Duration
	// Fence is its fencing token if it holds the lease, or zero.
	Fence uint64
	// Leaving is set if it is shutting down.
	Leaving bool
	// CutOff is set if it reaches no replica.
	CutOff bool
}

// Peer is what is known of another daemon.
type Peer struct {
	Heartbeat
	// InFlight holds its requests in flight from its last direct greeting.
	InFlight InFlightCounts
	// LastSeen is when the daemon sent the heartbeat, by the clock of this daemon.
	LastSeen time.Time
}
