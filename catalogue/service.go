package catalogue

// Service is a plain service beside the model engines.
type Service struct {
	// Name is unique among services and is the first part of the path after /services/.
	Name string `yaml:"Name" json:"Name"`
	// Upstreams names the upstreams that serve it.
	Upstreams []string `yaml:"Upstreams" json:"Upstreams"`
	// Calls is the closed list of calls that are routed.
	Calls []Call `yaml:"Calls" json:"Calls"`
}

// Call is one call of a plain service.
type Call struct {
	// Method is the HTTP method.
	Method string `yaml:"Method" json:"Method"`
	// Path is the exact path below the service, with a leading slash.
	Path string `yaml:"Path" json:"Path"`
	// Idempotent states that the call may run more than once.
	Idempotent bool `yaml:"Idempotent,omitempty" json:"Idempotent,omitempty"`
}
