package catalogue

import "github.com/bronzestall/bronzestall/internal/openjson"

// Model is a model that clients can request.
type Model struct {
	// Name is unique among models.
	Name string `yaml:"Name" json:"Name"`
	// Version is the version of the weights in force.
	Version string `yaml:"Version" json:"Version"`
	// Weights is the accelerator memory of the weights in bytes.
	Weights int64 `yaml:"Weights" json:"Weights" unit:"bytes"`
	// Reserve is the accelerator memory in bytes that an engine needs for caches in addition to the weights.
	Reserve int64 `yaml:"Reserve,omitempty" json:"Reserve,omitempty" unit:"bytes"`
	// AdapterSlots is the number of adapters that one replica can hold at once.
	AdapterSlots int `yaml:"AdapterSlots,omitempty" json:"AdapterSlots,omitempty"`
	// AdapterBytes is the accelerator memory in bytes of one adapter slot.
	AdapterBytes int64 `yaml:"AdapterBytes,omitempty" json:"AdapterBytes,omitempty" unit:"bytes"`
	// MinReplicas is the number of replicas that stay loaded in each data centre.
	MinReplicas int `yaml:"MinReplicas,omitempty" json:"MinReplicas,omitempty"`
	// MaxReplicas is the largest number of replicas in each data centre; zero means one.
	MaxReplicas int `yaml:"MaxReplicas,omitempty" json:"MaxReplicas,omitempty"`
	// Concurrency is the number of requests that one replica should process at once; zero means 16.
	Concurrency int `yaml:"Concurrency,omitempty" json:"Concurrency,omitempty"`
	// Unknown holds the members that only a later build knows.
	Unknown openjson.Rest `yaml:"-" json:"-"`
}

// Memory returns the accelerator memory in bytes that one replica requires: weights, reserve and adapter slots.
func (model Model) Memory() int64 {
	return model.Weights + model.Reserve + int64(model.AdapterSlots)*model.AdapterBytes
}
