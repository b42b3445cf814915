package settings

import "time"

// Settings is the whole settings file of a daemon.
type Settings struct {
	// Name is the name of the entry VM, unique among live daemons.
	Name string `yaml:"Name"`
	// DataCentre is the name of the data centre of the daemon.
	DataCentre string `yaml:"DataCentre"`
	// CallerAddress is the IP address and port for callers.
	CallerAddress string `yaml:"CallerAddress"`
	// OperatorAddress is the IP address and port for operators: status, metrics, health.
	OperatorAddress string `yaml:"OperatorAddress"`
	// PeerAddress is the IP address and port for other daemons.
	PeerAddress string `yaml:"PeerAddress"`
	// DataCentres lists every data centre with its region.
	DataCentres []DataCentre `yaml:"DataCentres"`
	// Peers lists daemons to ask before the VM list is known.
	Peers []Peer `yaml:"Peers"`
	// Upstreams lists engines and plain services; the VM list adds others and tells which leave.
	Upstreams []Upstream `yaml:"Upstreams"`
	// Platform tells where the platform is and how long to wait for it.
	Platform Platform `yaml:"Platform"`
	// Lease holds the times of the deciding lease.
	Lease Lease `yaml:"Lease"`
	// WeightStore holds the shared limits of the weight store.
	WeightStore WeightStore `yaml:"WeightStore"`
	// Tenants lists the tenants and their keys.
	Tenants []Tenant `yaml:"Tenants"`
	// Classes lists the request classes; the first is the default.
	Classes []Class `yaml:"Classes"`
	// KeepWarm holds the weights of the keep-warm policy.
	KeepWarm KeepWarm `yaml:"KeepWarm"`
	// Queue holds the bounds of admission.
	Queue Queue `yaml:"Queue"`
	// Drain holds the times of a planned stop.
	Drain Drain `yaml:"Drain"`
	// PeerCredentials names the files that authenticate daemons to each other; without them their
	// traffic is neither encrypted nor authenticated.
	PeerCredentials PeerCredentials `yaml:"PeerCredentials"`
	// OperatorKeyFile names the file with the operators' key; empty refuses operators' writes.
	OperatorKeyFile string `yaml:"OperatorKeyFile"`
}

// DataCentre is one data centre.
type DataCentre struct {
	// Name is unique.
	Name string `yaml:"Name"`
	// Region groups data centres that lose others together.
	Region string `yaml:"Region"`
}

// Peer is one other daemon.
type Peer struct {
	// Name is the name of the entry VM.
	Name string `yaml:"Name"`
	// Address is the IP address and port of its PeerAddress.
	Address string `yaml:"Address"`
}

// UpstreamKind tells what runs on an upstream.
type UpstreamKind string

// The kinds of upstreams.
const (
	// EngineKind is a model engine.
	EngineKind UpstreamKind = "Engine"
	// ServiceKind is a plain service.
	ServiceKind UpstreamKind = "Service"
)

// Upstream is one engine or plain service.
type Upstream struct {
	// Name is the name of the VM.
	Name string `yaml:"Name"`
	// Address is the IP address and port.
	Address string `yaml:"Address"`
	// DataCentre is the name of the data centre.
	DataCentre string `yaml:"DataCentre"`
	// Kind tells what runs there.
	Kind UpstreamKind `yaml:"Kind"`
	// ChecksFencing states that the engine refuses orders with an old fencing number.
	ChecksFencing bool `yaml:"ChecksFencing"`
	// ChecksBoot states that the engine refuses orders for another of its boots.
	ChecksBoot bool `yaml:"ChecksBoot"`
	// Memory is the accelerator memory of an engine in bytes, against which notes are checked; zero means unknown.
	Memory int64 `yaml:"Memory" unit:"bytes"`
}

// Platform tells where the platform's services are.
type Platform struct {
	// Address is the IP address and port of tables, objects and VM list.
	Address string `yaml:"Address"`
	// Timeout bounds one call; zero means 2 s.
	Timeout time.Duration `yaml:"Timeout"`
	// FollowEvery is the interval of reading the number in force; zero means 1 s.
	FollowEvery time.Duration `yaml:"FollowEvery"`
	// ListEvery is the interval of reading the VM list; zero means 2 s.
	ListEvery time.Duration `yaml:"ListEvery"`
}

// Lease holds the times of the deciding lease.
type Lease struct {
	// Term is how long a lease lasts after a renewal; zero means 10 s.
	Term time.Duration `yaml:"Term"`
	// RenewEvery is the interval of renewals; zero means 3 s. It must be below half of Term.
	RenewEvery time.Duration `yaml:"RenewEvery"`
}

// WeightStore holds the shared limits of the weight store over all data centres.
type WeightStore struct {
	// LoadsPerSecond is the rate of loads that the store allows.
	LoadsPerSecond float64 `yaml:"LoadsPerSecond"`
	// LoadsAtOnce is the number of loads at full speed.
	LoadsAtOnce int `yaml:"LoadsAtOnce"`
	// AdaptersInFlight is the number of adapter transfers at full speed; zero means 32.
	AdaptersInFlight int `yaml:"AdaptersInFlight"`
}

// Tenant is one group of callers.
type Tenant struct {
	// Name is unique.
	Name string `yaml:"Name"`
	// KeySHA256 is the hexadecimal SHA-256 of the callers' key.
	KeySHA256 string `yaml:"KeySHA256"`
	// Share is the weight of the tenant in fair queueing; zero means 1.
	Share int `yaml:"Share"`
}

// Class is one class of requests, chosen by the caller in the header X-Class.
type Class struct {
	// Name is unique.
	Name string `yaml:"Name"`
	// Deadline is the time within which an answer begins; a caller may ask for less. Zero means 30 s.
	Deadline time.Duration `yaml:"Deadline"`
	// Total is the time within which an answer ends; zero means 10 min.
	Total time.Duration `yaml:"Total"`
	// Priority is passed to engines; a higher number goes first.
	Priority int `yaml:"Priority"`
}

// KeepWarm holds the weights of the keep-warm policy.
type KeepWarm struct {
	// ColdStartWeight is the cost of one second of cold start of one request.
	ColdStartWeight float64 `yaml:"ColdStartWeight"`
	// IdleHourWeight is the cost of one idle accelerator hour.
	IdleHourWeight float64 `yaml:"IdleHourWeight"`
}

// Queue holds the bounds of admission.
type Queue struct {
	// PerModel is the largest number of waiting requests of one model; zero means 256.
	PerModel int `yaml:"PerModel"`
	// Total is the largest number of waiting requests of a daemon; zero means 4096.
	Total int `yaml:"Total"`
	// BodyBytes is the largest body of a request; zero means 8 MiB.
	BodyBytes int64 `yaml:"BodyBytes" unit:"bytes"`
}

// Drain holds the times of a planned stop.
type Drain struct {
	// Notice is how long the daemon fails its health check before it closes its listener; zero means 5 s.
	Notice time.Duration `yaml:"Notice"`
	// Limit is how long running requests may finish; zero means 10 min.
	Limit time.Duration `yaml:"Limit"`
}

// PeerCredentials names files in PEM form that are read again when they change. All or none are set.
type PeerCredentials struct {
	// CertificateFile holds the certificate of this daemon, for clients and servers.
	CertificateFile string `yaml:"CertificateFile"`
	// KeyFile holds its private key.
	KeyFile string `yaml:"KeyFile"`
	// AuthorityFile holds the certificates of the authorities that are accepted.
	AuthorityFile string `yaml:"AuthorityFile"`
}

// IsSet reports whether daemons authenticate to each other.
func (credentials PeerCredentials) IsSet() bool {
	return credentials != PeerCredentials{}
}
