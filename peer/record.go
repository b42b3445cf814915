package peer

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Record is what one daemon says of itself. It is immutable once it was given to a Node.
type Record struct {
	// Name is the name of the daemon.
	Name string
	// Incarnation is larger in a later process of the same name.
	Incarnation uint64
	// Version rises with every change of one incarnation.
	Version uint64
	// DataCentre is the data centre of the daemon.
	DataCentre string
	// PeerAddress is its address for other daemons.
	PeerAddress string
	// CallerAddress is its address for callers.
	CallerAddress string
	// InForce is the number of the newest release note that is in force there.
	InForce uint64
	// Leaving states that the daemon drains.
	Leaving bool
	// Running is the number of requests it has sent to upstreams and not ended.
	Running int
	// Waiting is the number of requests in its queues.
	Waiting int
	// Observations are the upstreams it polled, at most one for each name.
	Observations []Observation
	// Suspects are requests that may crash upstreams, ordered by fingerprint.
	Suspects []Suspect
	// Backlogs are the demands of its tenants.
	Backlogs []Backlog
}

// Observation is the state of an upstream as one daemon saw it.
type Observation struct {
	// Seen is when it was seen, by the clock of the daemon that holds the value.
	Seen time.Time
	// State is what the upstream said. State.Taken is zero in a record from a peer.
	State upstream.State
}

// Suspect is a request that was in flight on an upstream that crashed.
type Suspect struct {
	// Fingerprint identifies equal requests.
	Fingerprint uint64
	// Crashes are the crashes during which it was in flight.
	Crashes []Crash
	// Until is when it stops to count, by the clock of the daemon that holds the value.
	Until time.Time
}

// Crash is one crash of one upstream.
type Crash struct {
	// Upstream is the name of the VM.
	Upstream string
	// BootID is the boot that ended.
	BootID string
}

// Backlog is the demand of one tenant for one model at one daemon.
type Backlog struct {
	// Model is the name of the model.
	Model string
	// Tenant is the name of the tenant.
	Tenant string
	// Running and Waiting count its requests.
	Running, Waiting int
}

// Peer is a record with when its daemon was last heard.
type Peer struct {
	// Record is the newest record.
	Record Record
	// LastSeen is when the daemon itself spoke last, by the local clock.
	LastSeen time.Time
}
