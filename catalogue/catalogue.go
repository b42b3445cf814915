package catalogue

import (
	"iter"

	"github.com/bronzestall/bronzestall/internal/openjson"
)

// Catalogue contains the models, adapters and plain services in force. It is immutable and safe for concurrent use.
// The zero value is empty.
type Catalogue struct {
	// models are sorted by name.
	models sortedList[string, modelEntry]
	// services are sorted by name.
	services sortedList[string, Service]
	// adapters is the number of adapters of all models.
	adapters int
	// withdrawn holds the withdrawn entries; none of them is in force.
	withdrawn withdrawals
	// unknown holds the members of its snapshot that only a later build knows.
	unknown openjson.Rest
}

// modelEntry is one model with its adapters. It is immutable.
type modelEntry struct {
	model Model
	// previous is the model before its last change, or nil.
	previous *Model
	// adapters are sorted by name.
	adapters sortedList[string, adapterEntry]
	// unknown holds what only a later build knows of the entry. It outlives changes of the model.
	unknown openjson.Rest
}

// adapterEntry is one adapter. It is immutable.
type adapterEntry struct {
	adapter Adapter
	// previous is the adapter before its last change, or nil.
	previous *Adapter
	// unknown holds what only a later build knows of the entry. It outlives changes of the adapter.
	unknown openjson.Rest
}

// Model returns the model in force, and whether there is one. The lookup is a binary search.
func (catalogue Catalogue) Model(name string) (Model, bool) {
	entry := catalogue.models.Get(name)
	if entry == nil {
		return Model{}, false
	}
	return entry.model, true
}

// PreviousModel returns the model as it was before the last note that changed it. It reports false for a model that
// was never changed.
func (catalogue Catalogue) PreviousModel(name string) (Model, bool) {
	entry := catalogue.models.Get(name)
	if entry == nil || entry.previous == nil {
		return Model{}, false
	}
	return *entry.previous, true
}

// Adapter returns the adapter in force, and whether there is one. The lookup is a binary search.
func (catalogue Catalogue) Adapter(model, name string) (Adapter, bool) {
	entry := catalogue.adapterEntry(model, name)
	if entry == nil {
		return Adapter{}, false
	}
	return entry.adapter, true
}

// PreviousAdapter returns the adapter as it was before the last note that changed it. It reports false for an adapter
// that was never changed.
func (catalogue Catalogue) PreviousAdapter(model, name string) (Adapter, bool) {
	entry := catalogue.adapterEntry(model, name)
	if entry == nil || entry.previous == nil {
		return Adapter{}, false
	}
	return *entry.previous, true
}

func (catalogue Catalogue) adapterEntry(model, name string) *adapterEntry {
	entry := catalogue.models.Get(model)
	if entry == nil {
		return nil
	}
	return entry.adapters.Get(name)
}

// Service returns the plain service in force, and whether there is one. The caller must not modify its slices.
func (catalogue Catalogue) Service(name string) (Service, bool) {
	service := catalogue.services.Get(name)
	if service == nil {
		return Service{}, false
	}
	return *service, true
}

// Withdrawn reports whether the entry was withdrawn and not added again. Only the last WithdrawnLimit withdrawals are
// kept.
func (catalogue Catalogue) Withdrawn(name EntryName) bool {
	return catalogue.withdrawn.has(name)
}

// Models iterates over the models in order of their names.
func (catalogue Catalogue) Models() iter.Seq[Model] {
	return func(yield func(Model) bool) {
		for _, entry := range catalogue.models.All() {
			if !yield(entry.model) {
				return
			}
		}
	}
}

// Adapters iterates over the adapters of one model in order of their names.
func (catalogue Catalogue) Adapters(model string) iter.Seq[Adapter] {
	return func(yield func(Adapter) bool) {
		entry := catalogue.models.Get(model)
		if entry == nil {
			return
		}
		for _, adapter := range entry.adapters.All() {
			if !yield(adapter.adapter) {
				return
			}
		}
	}
}

// Services iterates over the plain services in order of their names.
func (catalogue Catalogue) Services() iter.Seq[Service] {
	return func(yield func(Service) bool) {
		for _, service := range catalogue.services.All() {
			if !yield(*service) {
				return
			}
		}
	}
}

// Size returns the number of models, adapters and plain services.
func (catalogue Catalogue) Size() Size {
	return Size{
		Models:   catalogue.models.Len(),
		Adapters: catalogue.adapters,
		Services: catalogue.services.Len(),
	}
}
