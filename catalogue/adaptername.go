package catalogue

import "github.com/bronzestall/bronzestall/internal/openjson"

// AdapterName identifies an adapter by its model and name.
type AdapterName struct {
	// Model is the name of the model.
	Model string `yaml:"Model" json:"Model"`
	// Name is the name of the adapter.
	Name string `yaml:"Name" json:"Name"`
	// Unknown holds the members that only a later build knows.
	Unknown openjson.Rest `yaml:"-" json:"-"`
}

// String returns the name in the form "model:adapter" that clients use.
func (name AdapterName) String() string {
	return Target{Model: name.Model, Adapter: name.Name}.String()
}

// FullName returns the name of the adapter including its model.
func (adapter Adapter) FullName() AdapterName {
	return AdapterName{Model: adapter.Model, Name: adapter.Name}
}
