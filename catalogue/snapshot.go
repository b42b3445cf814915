package catalogue

import "encoding/json"

// snapshot is the whole catalogue as written to the object store. Equal catalogues give equal bytes.
type snapshot struct {
	Models    []entryWithPrevious[Model]   `json:"Models,omitempty"`
	Adapters  []entryWithPrevious[Adapter] `json:"Adapters,omitempty"`
	Services  []Service            `json:"Services,omitempty"`
	Withdrawn []EntryName          `json:"Withdrawn,omitempty"`
}

// entryWithPrevious is an entry in force and the one before its last change.
type entryWithPrevious[T any] struct {
	InForce  T  `json:"InForce"`
	Previous *T `json:"Previous,omitempty"`
}

// MarshalJSON returns the whole catalogue. The cost grows with its size.
func (catalogue Catalogue) MarshalJSON() ([]byte, error) {
	var whole snapshot
	for _, entry := range catalogue.models.All() {
		whole.Models = append(whole.Models, entryWithPrevious[Model]{InForce: entry.model, Previous: entry.previous})
		for _, adapter := range entry.adapters.All() {
			whole.Adapters = append(whole.Adapters, entryWithPrevious[Adapter]{InForce: adapter.adapter, Previous: adapter.previous})
		}
	}
	for _, service := range catalogue.services.All() {
		whole.Services = append(whole.Services, *service)
	}
	whole.Withdrawn = catalogue.withdrawn.byAge
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

// catalogue builds the lists in one pass, since adding entry by entry would copy them each time.
func (whole snapshot) catalogue() (Catalogue, error) {
	adapters, err := whole.adaptersByModel()
	if err != nil {
		return Catalogue{}, err
	}
	read := Catalogue{adapters: len(whole.Adapters)}
	for _, model := range whole.Models {
		name := model.InForce.Name
		entry := &modelEntry{model: model.InForce, previous: model.Previous, adapters: adapters[name]}
		if !read.models.append(name, entry) {
			return Catalogue{}, &ChangeError{Entry: EntryName{Kind: ModelKind, Name: name}, Fault: OutOfOrder}
		}
		delete(adapters, name)
	}
	for model := range adapters {
		return Catalogue{}, &ChangeError{Entry: EntryName{Kind: ModelKind, Name: model}, Fault: Absent}
	}
	for _, service := range whole.Services {
		if !read.services.append(service.Name, &service) {
			return Catalogue{}, &ChangeError{Entry: EntryName{Kind: ServiceKind, Name: service.Name}, Fault: OutOfOrder}
		}
	}
	read.withdrawn = newWithdrawals(whole.Withdrawn)
	return read, nil
}

func (whole snapshot) adaptersByModel() (map[string]sortedList[string, adapterEntry], error) {
	adapters := map[string]sortedList[string, adapterEntry]{}
	for _, adapter := range whole.Adapters {
		name := adapter.InForce.FullName()
		list := adapters[name.Model]
		if !list.append(name.Name, &adapterEntry{adapter: adapter.InForce, previous: adapter.Previous}) {
			return nil, &ChangeError{Entry: EntryName{Kind: AdapterKind, Name: name.String()}, Fault: OutOfOrder}
		}
		adapters[name.Model] = list
	}
	return adapters, nil
}
