package decider

import "github.com/bronzestall/bronzestall/catalogue"

// Snapshot is a catalogue with the names of its models. It is immutable.
type Snapshot struct {
	catalogue.Catalogue
	names []string
}

// NewSnapshot reads the names once; keep the snapshot as long as the catalogue is in force.
func NewSnapshot(inForce catalogue.Catalogue) Snapshot {
	names := make([]string, 0, inForce.Size().Models)
	for model := range inForce.Models() {
		names = append(names, model.Name)
	}
	return Snapshot{Catalogue: inForce, names: names}
}

// Names returns the names of all models in force.
func (snapshot Snapshot) Names() []string {
	return snapshot.names
}
