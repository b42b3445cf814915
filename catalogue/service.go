package catalogue

import "github.com/bronzestall/bronzestall/internal/openjson"

// Service is a plain service, which is not a model engine.
type Service struct {
	// Name is unique among services and is the path segment after /services/.
	Name string `yaml:"Name" json:"Name"`
	// Upstreams are the names of the upstreams that provide the service.
	Upstreams []string `yaml:"Upstreams" json:"Upstreams"`
	// Calls are the calls of the service. Other calls are rejected.
	Calls []Call `yaml:"Calls" json:"Calls"`
	// Unknown holds the members that only a later build knows.
	Unknown openjson.Rest `yaml:"-" json:"-"`
}

// Call is one HTTP call of a plain service.
type Call struct {
	// Method is the HTTP method.
	Method string `yaml:"Method" json:"Method"`
	// Path is the exact path below the service, with a leading slash.
	Path string `yaml:"Path" json:"Path"`
	// Idempotent is true if the call may be executed more than once.
	Idempotent bool `yaml:"Idempotent,omitempty" json:"Idempotent,omitempty"`
	// Unknown holds the members that only a later build knows.
	Unknown openjson.Rest `yaml:"-" json:"-"`
}
