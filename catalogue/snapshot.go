package catalogue

import "github.com/bronzestall/bronzestall/internal/openjson"

// snapshot is the JSON form of a catalogue in the object store. Equal catalogues have equal encodings.
type snapshot struct {
	Models    []entryWithPrevious[Model]   `json:"Models,omitempty"`
	Adapters  []entryWithPrevious[Adapter] `json:"Adapters,omitempty"`
	Services  []Service                    `json:"Services,omitempty"`
	Withdrawn []withdrawal                 `json:"Withdrawn,omitempty"`
}

// entryWithPrevious is an entry in force, and the entry before its last change, or nil.
type entryWithPrevious[T any] struct {
	InForce  T  `json:"InForce"`
	Previous *T `json:"Previous,omitempty"`
	// unknown holds the members that only a later build knows.
	unknown openjson.Rest
}

// UnmarshalJSON decodes the entry and keeps the members that it does not know.
func (entry *entryWithPrevious[T]) UnmarshalJSON(content []byte) (err error) {
	type plain entryWithPrevious[T]
	entry.unknown, err = openjson.Decode(content, (*plain)(entry))
	return err
}

// MarshalJSON encodes the entry with the members that were unknown when it was decoded.
func (entry entryWithPrevious[T]) MarshalJSON() ([]byte, error) {
	type plain entryWithPrevious[T]
	return openjson.Encode(plain(entry), entry.unknown)
}

// MarshalJSON encodes the whole catalogue. The cost is proportional to its size.
func (catalogue Catalogue) MarshalJSON() ([]byte, error) {
	var whole snapshot
	for _, entry := range catalogue.models.All() {
		whole.Models = append(whole.Models, entryWithPrevious[Model]{InForce: entry.model, Previous: entry.previous, unknown: entry.unknown})
		for _, adapter := range entry.adapters.All() {
			whole.Adapters = append(whole.Adapters, entryWithPrevious[Adapter]{InForce: adapter.adapter, Previous: adapter.previous, unknown: adapter.unknown})
		}
	}
	for _, service := range catalogue.services.All() {
		whole.Services = append(whole.Services, *service)
	}
	whole.Withdrawn = catalogue.withdrawn.byAge
	return openjson.Encode(whole, catalogue.unknown)
}

// UnmarshalJSON replaces the catalogue by one that MarshalJSON encoded. It fails with a *ChangeError if entries are
// not in sorted order or an adapter has no model.
func (catalogue *Catalogue) UnmarshalJSON(content []byte) error {
	var whole snapshot
	unknown, err := openjson.Decode(content, &whole)
	if err != nil {
		return err
	}
	decoded, err := whole.catalogue()
	if err != nil {
		return err
	}
	decoded.unknown = unknown
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
		entry := &modelEntry{model: model.InForce, previous: model.Previous, adapters: adapters[name], unknown: model.unknown}
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
		if !list.append(name.Name, &adapterEntry{adapter: adapter.InForce, previous: adapter.Previous, unknown: adapter.unknown}) {
			return nil, &ChangeError{Entry: EntryName{Kind: AdapterKind, Name: name.String()}, Fault: OutOfOrder}
		}
		adapters[name.Model] = list
	}
	return adapters, nil
}
