package status

import "time"

// Report is the whole answer.
type Report struct {
	// At is the daemon's time of the answer.
	At time.Time `json:"At"`
	// Daemon is the daemon that answers.
	Daemon Daemon `json:"Daemon"`
	// InForce is the state in force at this daemon.
	InForce InForce `json:"InForce"`
	// Decider tells who decides for the data centre.
	Decider Decider `json:"Decider"`
	// Platform tells what the platform cannot be asked now.
	Platform Platform `json:"Platform"`
	// Peers are the other daemons.
	Peers []Peer `json:"Peers"`
	// Upstreams are the engines and services.
	Upstreams []Upstream `json:"Upstreams"`
	// Replicas are the replicas in any phase.
	Replicas []Replica `json:"Replicas"`
	// Refusals counts refusals by kind since the start of the daemon.
	Refusals []Refusal `json:"Refusals"`
	// InvariantsBroken counts broken invariants since the start of the daemon.
	InvariantsBroken int64 `json:"InvariantsBroken"`
}

// Daemon is the daemon that answers.
type Daemon struct {
	// Name is the name of the entry VM.
	Name string `json:"Name"`
	// DataCentre is its data centre.
	DataCentre string `json:"DataCentre"`
	// Incarnation differs for every start of the process.
	Incarnation uint64 `json:"Incarnation"`
	// Ready states that the balancer may send requests.
	Ready bool `json:"Ready"`
	// Reason tells why it is not ready.
	Reason string `json:"Reason,omitempty"`
	// Running is the number of requests in the daemon.
	Running int64 `json:"Running"`
}

// InForce is the state in force at one daemon.
type InForce struct {
	// Known is false while the daemon knows no state.
	Known bool `json:"Known"`
	// Number is the number of the release note.
	Number uint64 `json:"Number"`
	// Models, Adapters and Services count the entries.
	Models   int `json:"Models"`
	Adapters int `json:"Adapters"`
	Services int `json:"Services"`
	// Behind names the daemons that are known to have an older number.
	Behind []string `json:"Behind,omitempty"`
}

// Decider tells who decides for the data centre.
type Decider struct {
	// Name is the daemon that holds the lease, or empty if unknown.
	Name string `json:"Name"`
	// Mine states that it is this daemon.
	Mine bool `json:"Mine"`
	// For names the data centres that this daemon decides for; others than its own have no live daemon.
	For []string `json:"For,omitempty"`
	// Fence is the fencing number, if it is this daemon.
	Fence uint64 `json:"Fence,omitempty"`
	// LostFor is the time for which no decider has answered, or zero.
	LostFor time.Duration `json:"LostFor,omitempty"`
}

// Platform tells what the platform cannot be asked now.
type Platform struct {
	// TablesAwayFor is the time for which reads of the number in force have failed, or zero.
	TablesAwayFor time.Duration `json:"TablesAwayFor,omitempty"`
	// ListAway states that the VM list cannot be read.
	ListAway bool `json:"ListAway"`
}

// Peer is another daemon.
type Peer struct {
	// Name is the name of its entry VM.
	Name string `json:"Name"`
	// DataCentre is its data centre.
	DataCentre string `json:"DataCentre"`
	// InForce is its number in force.
	InForce uint64 `json:"InForce"`
	// Leaving states that it drains.
	Leaving bool `json:"Leaving,omitempty"`
	// Running and Waiting count its requests.
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	// HeardAgo is the age of this entry.
	HeardAgo time.Duration `json:"HeardAgo"`
}

// Upstream is an engine or a plain service.
type Upstream struct {
	// Name is the name of the VM.
	Name string `json:"Name"`
	// DataCentre is its data centre.
	DataCentre string `json:"DataCentre"`
	// Kind is Engine or Service.
	Kind string `json:"Kind"`
	// Leaving states that it takes no new work.
	Leaving bool `json:"Leaving,omitempty"`
	// Capacity and Used are accelerator memory in bytes.
	Capacity int64 `json:"Capacity,omitempty"`
	Used     int64 `json:"Used,omitempty"`
	// Heard states that its state was heard at all.
	Heard bool `json:"Heard"`
	// HeardAgo is the age of this entry.
	HeardAgo time.Duration `json:"HeardAgo,omitempty"`
}

// Replica is one model on one upstream.
type Replica struct {
	// Model and Version name the weights.
	Model   string `json:"Model"`
	Version string `json:"Version"`
	// Upstream is the name of the VM.
	Upstream string `json:"Upstream"`
	// DataCentre is its data centre.
	DataCentre string `json:"DataCentre"`
	// Phase is Loading, Ready, Unloading or Failed.
	Phase string `json:"Phase"`
	// Use tells why it is there: busy, idle, old version, or not in force.
	Use string `json:"Use"`
	// Running and Waiting are the reported load.
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	// HeardAgo is the age of this entry.
	HeardAgo time.Duration `json:"HeardAgo"`
}

// Refusal counts the refusals of one kind.
type Refusal struct {
	// Kind is the name of the error kind.
	Kind string `json:"Kind"`
	// Count is the number since the start of the daemon.
	Count int64 `json:"Count"`
}
