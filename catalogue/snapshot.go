package catalogue

import "encoding/json"

// snapshot is the JSON form of a catalogue in the object store. Equal catalogues have equal encodings.
type snapshot struct {
	Models    []entryWithPrevious[Model]   `json:"Models,omitempty"`
	Adapters  []entryWithPrevious[Adapter] `json:"Adapters,omitempty"`
	Services  []Service                    `json:"Services,omitempty"`
	Withdrawn []EntryName                  `json:"Withdrawn,omitempty"`
}

// entryWithPrevious is an entry in force, and the entry before its last change, or nil.
type entryWithPrevious[T any] struct {
	InForce  T  `json:"InForce"`
	Previous *T `json:"Previous,omitempty"`
}

// MarshalJSON encodes the whole catalogue. The cost is proportional to its size.
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

// UnmarshalJSON replaces the catalogue by one that MarshalJSON encoded. It fails with a *ChangeError if entries are
// not in sorted order or an adapter has no model.
func (catalogue *Catalogue) UnmarshalJSON(content []byte) error {
	var whole snapshot
	if err := json.Unmarshal(content, &whole); err != nil {
		return err
	}
	decoded, err := whole.catalogue()
	if err != nil {
		return err
	}
	*catalogue = decoded
	return nil
}

// catalogue builds the sorted lists in one pass, since adding the entries one by one would copy the lists each time.
func (whole snapshot) catalogue() (Catalogue, error) {
	adapters, err := whole.adaptersByModel()
	if err != nil {
		return Catalogue{}, err
	}
	decoded := Catalogue{adapters: len(whole.Adapters)}
	for _, model := range whole.Models {
		name := model.InForce.Name
		entry := &modelEntry{model: model.InForce, previous: model.Previous, adapters: adapters[name]}
		if !decoded.models.append(name, entry) {
			return Catalogue{}, &ChangeError{Entry: EntryName{Kind: ModelKind, Name: name}, Fault: OutOfOrder}
		}
		delete(adapters, name)
	}
	for model := range adapters {
		return Catalogue{}, &ChangeError{Entry: EntryName{Kind: ModelKind, Name: model}, Fault: Absent}
	}
	for _, service := range whole.Services {
		if !decoded.services.append(service.Name, &service) {
			return Catalogue{}, &ChangeError{Entry: EntryName{Kind: ServiceKind, Name: service.Name}, Fault: OutOfOrder}
		}
	}
	decoded.withdrawn = newWithdrawals(whole.Withdrawn)
	return decoded, nil
}

// adaptersByModel returns the sorted adapters of each model.
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
