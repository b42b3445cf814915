package catalogue

// AdapterName names one adapter of one model.
type AdapterName struct {
	// Model is the name of the model.
	Model string `yaml:"Model" json:"Model"`
	// Name is the name of the adapter.
	Name string `yaml:"Name" json:"Name"`
}

// String returns the name as callers write it.
func (name AdapterName) String() string {
	return Target{Model: name.Model, Adapter: name.Name}.String()
}

// FullName returns the name of the adapter with its model.
func (adapter Adapter) FullName() AdapterName {
	return AdapterName{Model: adapter.Model, Name: adapter.Name}
}
