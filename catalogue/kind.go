package catalogue

// Kind tells what an entry of a catalogue is.
type Kind string

// The kinds of entries.
const (
	// ModelKind is a Model.
	ModelKind Kind = "Model"
	// AdapterKind is an Adapter.
	AdapterKind Kind = "Adapter"
	// ServiceKind is a Service.
	ServiceKind Kind = "Service"
)

// EntryName names one entry of a catalogue.
type EntryName struct {
	// Kind tells what the entry is.
	Kind Kind `json:"Kind"`
	// Name is the name of the entry; that of an adapter is written "model:adapter".
	Name string `json:"Name"`
}

// String returns kind and name.
func (name EntryName) String() string {
	return string(name.Kind) + " " + name.Name
}
