package catalogue

// Kind is the kind of an entry of a catalogue.
type Kind string

// The kinds of entries.
const (
	// ModelKind is the kind of a Model.
	ModelKind Kind = "Model"
	// AdapterKind is the kind of an Adapter.
	AdapterKind Kind = "Adapter"
	// ServiceKind is the kind of a Service.
	ServiceKind Kind = "Service"
)

// EntryName identifies an entry of a catalogue by kind and name.
type EntryName struct {
	// Kind is the kind of the entry.
	Kind Kind `json:"Kind"`
	// Name is the name of the entry; that of an adapter has the form "model:adapter".
	Name string `json:"Name"`
}

// String returns the kind and the name, separated by a space.
func (name EntryName) String() string {
	return string(name.Kind) + " " + name.Name
}
