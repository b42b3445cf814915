package catalogue

// AdapterName identifies an adapter by its model and name.
type AdapterName struct {
	// Model is the name of the model.
	Model string `yaml:"Model" json:"Model"`
	// Name is the name of the adapter.
	Name string `yaml:"Name" json:"Name"`
}

// String returns the name in the form "model:adapter" that clients use.
func (name AdapterName) String() string {
	return Target{Model: name.Model, Adapter: name.Name}.String()
}

// FullName returns the name of the adapter including its model.
func (adapter Adapter) FullName() AdapterName {
	return AdapterName{Model: adapter.Model, Name: adapter.Name}
}
