package catalogue

import "github.com/bronzestall/bronzestall/internal/openjson"

// Changes lists the changes to entries of one kind.
type Changes[T, N any] struct {
	// Added are the new entries.
	Added []T `yaml:"Added" json:"Added,omitempty"`
	// Changed are the entries that replace one of the same name.
	Changed []T `yaml:"Changed" json:"Changed,omitempty"`
	// Withdrawn are the names of the entries to remove.
	Withdrawn []N `yaml:"Withdrawn" json:"Withdrawn,omitempty"`
	// Unknown holds the members that only a later build knows. They do not change a catalogue.
	Unknown openjson.Rest `yaml:"-" json:"-"`
}

// Len returns the number of entries in the lists.
func (changes Changes[T, N]) Len() int {
	return len(changes.Added) + len(changes.Changed) + len(changes.Withdrawn)
}

// Change is the difference between two catalogues.
type Change struct {
	// Models are the changes to models.
	Models Changes[Model, string] `json:"Models,omitzero"`
	// Adapters are the changes to adapters.
	Adapters Changes[Adapter, AdapterName] `json:"Adapters,omitzero"`
	// Services are the changes to plain services.
	Services Changes[Service, string] `json:"Services,omitzero"`
}

// Len returns the number of entries in all lists.
func (change Change) Len() int {
	return change.Models.Len() + change.Adapters.Len() + change.Services.Len()
}
