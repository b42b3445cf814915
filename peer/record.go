package peer

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Record is the state that a daemon reports about itself. It must not be changed once it was passed to a Node.
type Record struct {
	// Name is the name of the daemon.
	Name string
	// Incarnation orders the processes of the same name. It is larger in a later one.
	Incarnation uint64
	// Version rises with each change within an incarnation.
	Version uint64
	// DataCentre is the data centre of the daemon.
	DataCentre string
	// PeerAddress is its address for other daemons.
	PeerAddress string
	// CallerAddress is its address for callers.
	CallerAddress string
	// Build tells its build from others for operators; it is empty if the daemon, or one that handed the record on, knows none.
	Build string
	// InForce is the number of the newest release note in force at the daemon.
	InForce uint64
	// Leaving states that the daemon is draining.
	Leaving bool
	// Running is the number of its requests in flight on upstreams.
	Running int
	// Waiting is the number of requests in its queues.
	Waiting int
	// Observations are the states of the upstreams that it polled, at most one for each upstream.
	Observations []Observation
	// Suspects are requests that may crash upstreams, ordered by fingerprint.
	Suspects []Suspect
	// Backlogs are the requests of its tenants.
	Backlogs []Backlog
}

// Observation is the state of an upstream as one daemon observed it.
type Observation struct {
	// Seen is when the state was observed, by the clock of the daemon that stores the Observation.
	Seen time.Time
	// State is what the upstream reported. State.Taken is zero in a record from a peer.
	State upstream.State
}

// Suspect is a request that was in flight on an upstream that crashed.
type Suspect struct {
	// Fingerprint identifies equal requests.
	Fingerprint uint64
	// Crashes are the crashes during which it was in flight.
	Crashes []Crash
	// Until is when the suspicion expires, by the clock of the daemon that stores the Suspect.
	Until time.Time
}

// Crash is one crash of one upstream.
type Crash struct {
	// Upstream is the name of the VM.
	Upstream string
	// BootID identifies the boot that the crash ended.
	BootID string
}

// Backlog counts the requests of one tenant for one model at one daemon.
type Backlog struct {
	// Model is the name of the model.
	Model string
	// Tenant is the name of the tenant.
	Tenant string
	// Running and Waiting count its requests.
	Running, Waiting int
}

// Peer is what is known of another daemon.
type Peer struct {
	// Record is its newest record.
	Record Record
	// LastSeen is when the daemon was last seen, directly or through a relayed record, by the local clock.
	LastSeen time.Time
}
