package mesh

import "time"

// Member is one daemon.
type Member struct {
	// Name is the name of its VM.
	Name string
	// Address is the IP address and port for other daemons.
	Address string
	// DataCentre is where it stands.
	DataCentre string
}

// State is what a daemon tells of itself.
type State struct {
	// ConfigurationVersion and RosterVersion are the versions that it has.
	ConfigurationVersion, RosterVersion uint64
	// StoreAge is the time since it last heard from the platform's store.
	StoreAge time.Duration
	// Fence is its fencing token if it holds the lease, or zero.
	Fence uint64
	// Leaving states that it is stopping.
	Leaving bool
}

// Peer is what is known of another daemon.
type Peer struct {
	Heartbeat
	// InFlight are its requests in flight, as it told directly.
	InFlight InFlightCounts
	// LastSeen is when the daemon told the news, by this daemon's clock.
	LastSeen time.Time
}
