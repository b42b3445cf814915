package catalogue

// Changes lists what happens to the entries of one kind.
type Changes[T, N any] struct {
	// Added lists entries that are new.
	Added []T `yaml:"Added" json:"Added,omitempty"`
	// Changed lists entries that replace one of the same name.
	Changed []T `yaml:"Changed" json:"Changed,omitempty"`
	// Withdrawn names entries that end.
	Withdrawn []N `yaml:"Withdrawn" json:"Withdrawn,omitempty"`
}

// Len returns the number of entries that the changes name.
func (changes Changes[T, N]) Len() int {
	return len(changes.Added) + len(changes.Changed) + len(changes.Withdrawn)
}

// Change is the difference between two catalogues.
type Change struct {
	// Models changes models.
	Models Changes[Model, string] `json:"Models,omitzero"`
	// Adapters changes adapters.
	Adapters Changes[Adapter, AdapterName] `json:"Adapters,omitzero"`
	// Services changes plain services.
	Services Changes[Service, string] `json:"Services,omitzero"`
}

// Len returns the number of entries that the change names.
func (change Change) Len() int {
	return change.Models.Len() + change.Adapters.Len() + change.Services.Len()
}
