package settings

import "time"

// Settings is the content of the settings file of a daemon.
type Settings struct {
	// Name is the name of the entry VM, unique among live daemons.
	Name string `yaml:"Name"`
	// DataCentre is the name of the data centre of the daemon.
	DataCentre string `yaml:"DataCentre"`
	// CallerAddress is the IP address and port on which callers are served.
	CallerAddress string `yaml:"CallerAddress"`
	// OperatorAddress is the IP address and port on which status, metrics and health are served to operators.
	OperatorAddress string `yaml:"OperatorAddress"`
	// PeerAddress is the IP address and port on which other daemons are served.
	PeerAddress string `yaml:"PeerAddress"`
	// DataCentres lists every data centre with its region.
	DataCentres []DataCentre `yaml:"DataCentres"`
	// Peers lists the daemons to contact before the VM list has been read.
	Peers []Peer `yaml:"Peers"`
	// Upstreams lists engines and plain services; the VM list adds others and reports which ones leave.
	Upstreams []Upstream `yaml:"Upstreams"`
	// Platform holds the address, timeout and polling intervals of the platform.
	Platform Platform `yaml:"Platform"`
	// Lease holds the durations of the lease that the deciding daemon holds.
	Lease Lease `yaml:"Lease"`
	// WeightStore holds the shared limits of the weight store.
	WeightStore WeightStore `yaml:"WeightStore"`
	// Tenants lists the tenants and their keys.
	Tenants []Tenant `yaml:"Tenants"`
	// Classes lists the request classes; the first is the default.
	Classes []Class `yaml:"Classes"`
	// KeepWarm holds the cost weights of the keep-warm policy.
	KeepWarm KeepWarm `yaml:"KeepWarm"`
	// Queue holds the limits of admission.
	Queue Queue `yaml:"Queue"`
	// Drain holds the durations of a graceful shutdown.
	Drain Drain `yaml:"Drain"`
	// PeerCredentials names the files that authenticate daemons to each other; without them their
	// traffic is neither encrypted nor authenticated.
	PeerCredentials PeerCredentials `yaml:"PeerCredentials"`
	// OperatorKeyFile names the file with the operators' key; if it is empty, writes by operators are refused.
	OperatorKeyFile string `yaml:"OperatorKeyFile"`
}

// DataCentre is one data centre.
type DataCentre struct {
	// Name is unique in its list.
	Name string `yaml:"Name"`
	// Region groups data centres that lose the connection to other data centres together.
	Region string `yaml:"Region"`
}

// Peer names another daemon.
type Peer struct {
	// Name is the name of the entry VM.
	Name string `yaml:"Name"`
	// Address is the PeerAddress of that daemon.
	Address string `yaml:"Address"`
}

// UpstreamKind is the kind of process that runs on an upstream.
type UpstreamKind string

// The kinds of upstreams.
const (
	// EngineKind is the kind of a model engine.
	EngineKind UpstreamKind = "Engine"
	// ServiceKind is the kind of a plain service.
	ServiceKind UpstreamKind = "Service"
)

// Upstream is the address of one engine or plain service and its properties.
type Upstream struct {
	// Name is the name of the VM.
	Name string `yaml:"Name"`
	// Address is the IP address and port of the process.
	Address string `yaml:"Address"`
	// DataCentre is the name of the data centre.
	DataCentre string `yaml:"DataCentre"`
	// Kind is the kind of process that runs there.
	Kind UpstreamKind `yaml:"Kind"`
	// ChecksFencing states that the engine refuses orders with a lower fencing number than the highest it has seen.
	ChecksFencing bool `yaml:"ChecksFencing"`
	// ChecksBoot states that the engine refuses orders that were decided for an earlier boot.
	ChecksBoot bool `yaml:"ChecksBoot"`
	// Memory is the accelerator memory of an engine in bytes, against which notes are checked; zero means unknown.
	Memory int64 `yaml:"Memory" unit:"bytes"`
}

// Platform holds the address, timeout and polling intervals of the platform.
type Platform struct {
	// Address is the IP address and port of the tables, the objects and the VM list.
	Address string `yaml:"Address"`
	// Timeout bounds one call; zero means 2 s.
	Timeout time.Duration `yaml:"Timeout"`
	// FollowEvery is the interval between polls of the number in force; zero means 1 s.
	FollowEvery time.Duration `yaml:"FollowEvery"`
	// ListEvery is the interval between polls of the VM list; zero means 2 s.
	ListEvery time.Duration `yaml:"ListEvery"`
}

// Lease holds the durations of the lease that the deciding daemon holds.
type Lease struct {
	// Term is how long the lease is valid after a renewal; zero means 10 s.
	Term time.Duration `yaml:"Term"`
	// RenewEvery is the interval between renewals; zero means 3 s. It must be below half of Term.
	RenewEvery time.Duration `yaml:"RenewEvery"`
}

// WeightStore holds the limits of the weight store, which all data centres share.
type WeightStore struct {
	// LoadsPerSecond is the maximum rate of loads that the store permits.
	LoadsPerSecond float64 `yaml:"LoadsPerSecond"`
	// LoadsAtOnce is the number of concurrent loads that run at full speed.
	LoadsAtOnce int `yaml:"LoadsAtOnce"`
	// AdaptersInFlight is the number of concurrent adapter transfers that run at full speed; zero means 32.
	AdaptersInFlight int `yaml:"AdaptersInFlight"`
}

// Tenant is a group of callers that share a key.
type Tenant struct {
	// Name is unique in its list.
	Name string `yaml:"Name"`
	// KeySHA256 is the SHA-256 hash of the callers' key in hexadecimal.
	KeySHA256 string `yaml:"KeySHA256"`
	// Share is the weight of the tenant in fair queueing; zero means 1.
	Share int `yaml:"Share"`
}

// Class is a class of requests. The caller selects it with the header X-Class.
type Class struct {
	// Name is unique in its list.
	Name string `yaml:"Name"`
	// Deadline is the longest time until the response starts; a caller may request less. Zero means 30 s.
	Deadline time.Duration `yaml:"Deadline"`
	// Total is the longest time until the response is complete; zero means 10 min.
	Total time.Duration `yaml:"Total"`
	// Priority is passed to engines; a higher number is served first.
	Priority int `yaml:"Priority"`
}

// KeepWarm holds the cost weights of the keep-warm policy.
type KeepWarm struct {
	// ColdStartWeight is the cost of one second that one request waits for a cold start.
	ColdStartWeight float64 `yaml:"ColdStartWeight"`
	// IdleHourWeight is the cost of one hour of one idle accelerator.
	IdleHourWeight float64 `yaml:"IdleHourWeight"`
}

// Queue holds the limits of admission.
type Queue struct {
	// PerModel is the maximum number of waiting requests of one model; zero means 256.
	PerModel int `yaml:"PerModel"`
	// Total is the maximum number of waiting requests of a daemon; zero means 4096.
	Total int `yaml:"Total"`
	// BodyBytes is the maximum length of a request body in bytes; zero means 8 MiB.
	BodyBytes int64 `yaml:"BodyBytes" unit:"bytes"`
}

// Drain holds the durations of a graceful shutdown.
type Drain struct {
	// Notice is how long the daemon fails its health check before it closes its listener; zero means 5 s.
	Notice time.Duration `yaml:"Notice"`
	// Limit is how long the daemon waits for requests in flight; zero means 10 min.
	Limit time.Duration `yaml:"Limit"`
}

// PeerCredentials names files in PEM form that are reloaded when they change. All or none are set.
type PeerCredentials struct {
	// CertificateFile holds the certificate of this daemon, for clients and servers.
	CertificateFile string `yaml:"CertificateFile"`
	// KeyFile holds the private key of the certificate.
	KeyFile string `yaml:"KeyFile"`
	// AuthorityFile holds the certificates of the accepted authorities.
	AuthorityFile string `yaml:"AuthorityFile"`
}

// IsSet reports whether any file is set, so that daemons authenticate to each other.
func (credentials PeerCredentials) IsSet() bool {
	return credentials != PeerCredentials{}
}
