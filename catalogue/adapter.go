package catalogue

import "github.com/bronzestall/bronzestall/internal/openjson"

// Adapter is a small set of weights that an engine applies on top of a model.
type Adapter struct {
	// Name is unique among the adapters of one model.
	Name string `yaml:"Name" json:"Name"`
	// Model is the name of the model that the adapter applies to.
	Model string `yaml:"Model" json:"Model"`
	// Version is the version of the adapter weights in force.
	Version string `yaml:"Version" json:"Version"`
	// Unknown holds the members that only a later build knows.
	Unknown openjson.Rest `yaml:"-" json:"-"`
}
