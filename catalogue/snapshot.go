package catalogue

import "encoding/json"

// snapshot is the whole catalogue as written to the object store. Equal catalogues give equal bytes.
type snapshot struct {
	Models    []versioned[Model]   `json:"Models,omitempty"`
	Adapters  []versioned[Adapter] `json:"Adapters,omitempty"`
	Services  []Service            `json:"Services,omitempty"`
	Withdrawn []EntryName          `json:"Withdrawn,omitempty"`
}

// versioned is an entry in force and the one before its last change.
type versioned[T any] struct {
	InForce  T  `json:"InForce"`
	Previous *T `json:"Previous,omitempty"`
}

// MarshalJSON returns the whole catalogue. The cost grows with its size.
func (catalogue Catalogue) MarshalJSON() ([]byte, error) {
	var whole snapshot
	for _, entry := range catalogue.models.All() {
		whole.Models = append(whole.Models, versioned[Model]{InForce: entry.model, Previous: entry.previous})
		for _, adapter := range entry.adapters.All() {
			whole.Adapters = append(whole.Adapters, versioned[Adapter]{InForce: adapter.adapter, Previous: adapter.previous})
		}
	}
	for _, service := range catalogue.services.All() {
		whole.Services = append(whole.Services, *service)
	}
	whole.Withdrawn = catalogue.withdrawn.oldest
	return json.Marshal(whole)
}

// UnmarshalJSON replaces the catalogue by what MarshalJSON wrote.
func (catalogue *Catalogue) UnmarshalJSON(content []byte) error {
	var whole snapshot
	if err := json.Unmarshal(content, &whole); err != nil {
		return err
	}
	read, err := whole.catalogue()
	if err != nil {
		return err
	}
	*catalogue = read
	return nil
}

func (whole snapshot) catalogue() (Catalogue, error) {
	var change Change
	for _, model := range whole.Models {
		change.Models.Added = append(change.Models.Added, model.InForce)
	}
	for _, adapter := range whole.Adapters {
		change.Adapters.Added = append(change.Adapters.Added, adapter.InForce)
	}
	change.Services.Added = whole.Services
	read, err := Catalogue{}.Apply(change)
	if err != nil {
		return Catalogue{}, err
	}
	whole.restorePrevious(read)
	for _, name := range whole.Withdrawn {
		read.withdrawn = read.withdrawn.with(name)
	}
	return read, nil
}

// restorePrevious fills in the previous versions of a catalogue that nobody else has seen yet.
func (whole snapshot) restorePrevious(read Catalogue) {
	for _, model := range whole.Models {
		read.models.Get(model.InForce.Name).previous = model.Previous
	}
	for _, adapter := range whole.Adapters {
		read.adapterEntry(adapter.InForce.Model, adapter.InForce.Name).previous = adapter.Previous
	}
}
