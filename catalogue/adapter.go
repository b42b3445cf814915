package catalogue

// Adapter is a small set of weights that an engine applies on top of a model.
type Adapter struct {
	// Name is unique among the adapters of one model.
	Name string `yaml:"Name" json:"Name"`
	// Model names the model below the adapter.
	Model string `yaml:"Model" json:"Model"`
	// Version names the adapter weights in force.
	Version string `yaml:"Version" json:"Version"`
}
