package status

import "time"

// Report is the state of the system as one daemon knows it.
type Report struct {
	// At is the time of the report by the daemon's clock.
	At time.Time `json:"At"`
	// Daemon describes the daemon that made the report.
	Daemon Daemon `json:"Daemon"`
	// InForce describes the release note in force at this daemon.
	InForce InForce `json:"InForce"`
	// Decider names the decider of the daemon's data centre.
	Decider Decider `json:"Decider"`
	// Platform lists the parts of the platform that cannot be read now.
	Platform Platform `json:"Platform"`
	// Peers are the other daemons that this daemon has received a record of.
	Peers []Peer `json:"Peers"`
	// Upstreams are the engines and plain services of all data centres, by name.
	Upstreams []Upstream `json:"Upstreams"`
	// Replicas are the replicas in any phase, ordered by model, version and upstream.
	Replicas []Replica `json:"Replicas"`
	// Refusals counts the requests that ended with an error, by outcome kind, since the start of the daemon.
	Refusals []Refusal `json:"Refusals"`
	// InvariantsBroken counts violated invariants since the start of the daemon.
	InvariantsBroken int64 `json:"InvariantsBroken"`
}

// Daemon describes the daemon that made the report.
type Daemon struct {
	// Name is the name of its entry VM.
	Name string `json:"Name"`
	// DataCentre is its data centre.
	DataCentre string `json:"DataCentre"`
	// Incarnation identifies the process of the daemon; a later process has a larger number.
	Incarnation uint64 `json:"Incarnation"`
	// Ready is true if the load balancer may send requests to the daemon.
	Ready bool `json:"Ready"`
	// Reason is why the daemon is not ready; it is empty if the daemon is ready.
	Reason string `json:"Reason,omitempty"`
	// Running is the number of requests in progress in the daemon.
	Running int64 `json:"Running"`
	// Build tells its build from others; it is empty in reports of builds that do not name themselves.
	Build string `json:"Build,omitempty"`
	// Protocol is its version of the protocol between daemons, or zero if it knows none.
	Protocol int64 `json:"Protocol,omitempty"`
}

// InForce describes the release note in force at one daemon and the size of its catalogue.
type InForce struct {
	// Known is false until the daemon has read a release note; the numbers are then zero.
	Known bool `json:"Known"`
	// Number is the number of the release note in force.
	Number uint64 `json:"Number"`
	// Models, Adapters and Services count the entries of the catalogue.
	Models   int `json:"Models"`
	Adapters int `json:"Adapters"`
	Services int `json:"Services"`
	// Behind names the daemons whose latest record has an older number.
	Behind []string `json:"Behind,omitempty"`
}

// Decider names the daemon that decides which models are loaded in the data centre.
type Decider struct {
	// Name is the daemon that holds the lease of the data centre, or empty if unknown.
	Name string `json:"Name"`
	// Mine is true if this daemon holds the lease.
	Mine bool `json:"Mine"`
	// For names the data centres that this daemon decides for. It can decide for another data centre
	// than its own when that one has no live daemon.
	For []string `json:"For,omitempty"`
	// Fence is the fencing number of the lease if this daemon holds it, or zero.
	Fence uint64 `json:"Fence,omitempty"`
	// LostFor is the time for which no decider has responded, or zero if the last report was answered.
	LostFor time.Duration `json:"LostFor,omitempty"`
}

// Platform lists the parts of the platform that cannot be read now.
type Platform struct {
	// TablesAwayFor is the time for which reads of the number in force have failed, or zero.
	TablesAwayFor time.Duration `json:"TablesAwayFor,omitempty"`
	// ListAway is true if the last read of the VM list failed.
	ListAway bool `json:"ListAway"`
}

// Peer is another daemon by its latest record.
type Peer struct {
	// Name is the name of its entry VM.
	Name string `json:"Name"`
	// DataCentre is its data centre.
	DataCentre string `json:"DataCentre"`
	// Build tells its build from others; it is empty if the daemon told none.
	Build string `json:"Build,omitempty"`
	// Protocol is the version of the protocol between daemons that it told, or zero if it told none.
	Protocol int64 `json:"Protocol,omitempty"`
	// InForce is the number of the release note in force there.
	InForce uint64 `json:"InForce"`
	// Leaving is true if the daemon is shutting down.
	Leaving bool `json:"Leaving,omitempty"`
	// Running and Waiting count its requests in progress and in its queues.
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	// HeardAgo is the time since the daemon was last seen.
	HeardAgo time.Duration `json:"HeardAgo"`
}

// Upstream is an engine or a plain service.
type Upstream struct {
	// Name is the name of the VM.
	Name string `json:"Name"`
	// DataCentre is its data centre.
	DataCentre string `json:"DataCentre"`
	// Kind is "Engine" or "Service".
	Kind string `json:"Kind"`
	// Release is the release of the engine's software, or empty if it names none. A stream goes on only at the release that began it.
	Release string `json:"Release,omitempty"`
	// Leaving is true if the upstream accepts no new requests.
	Leaving bool `json:"Leaving,omitempty"`
	// Capacity and Used are accelerator memory in bytes: the total, and that of the replicas.
	Capacity int64 `json:"Capacity,omitempty"`
	Used     int64 `json:"Used,omitempty"`
	// Heard is true once a state of the upstream has been received.
	Heard bool `json:"Heard"`
	// HeardAgo is the age of the latest state, or zero if none has been received.
	HeardAgo time.Duration `json:"HeardAgo,omitempty"`
}

// Replica is one version of a model on one engine.
type Replica struct {
	// Model and Version identify the weights.
	Model   string `json:"Model"`
	Version string `json:"Version"`
	// Upstream is the name of the VM.
	Upstream string `json:"Upstream"`
	// DataCentre is its data centre.
	DataCentre string `json:"DataCentre"`
	// Phase is "Loading", "Ready", "Unloading" or "Failed".
	Phase string `json:"Phase"`
	// Use is "busy" or "idle" for the version in force, "old version" for another version, and
	// "not in force" for a model that is not in the catalogue.
	Use string `json:"Use"`
	// Running and Waiting count the requests that the engine reports for the replica.
	Running int `json:"Running"`
	Waiting int `json:"Waiting"`
	// HeardAgo is the age of the engine state with this entry.
	HeardAgo time.Duration `json:"HeardAgo"`
}

// Refusal counts the requests that ended with one outcome kind.
type Refusal struct {
	// Kind is the name of the outcome kind.
	Kind string `json:"Kind"`
	// Count is the number of these requests since the start of the daemon.
	Count int64 `json:"Count"`
}
