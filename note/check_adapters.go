package note

import (
	"fmt"

	"github.com/bronzestall/bronzestall/catalogue"
)

func adapterEntry(name catalogue.AdapterName) catalogue.EntryName {
	return catalogue.EntryName{Kind: catalogue.AdapterKind, Name: name.String()}
}

func (checker *checker) checkAdapters() {
	for i, adapter := range checker.note.Adapters.Added {
		checker.checkAdapter(fmt.Sprintf("Adapters.Added[%d]", i), adapter, false)
	}
	for i, adapter := range checker.note.Adapters.Changed {
		key := fmt.Sprintf("Adapters.Changed[%d]", i)
		checker.checkAdapter(key, adapter, true)
		if old, found := checker.inForce.Adapter(adapter.Model, adapter.Name); found && old == adapter {
			checker.refuse(key+".Name", "%s is the same in force", adapterEntry(adapter.FullName()))
		}
	}
	for i, name := range checker.note.Adapters.Withdrawn {
		key := fmt.Sprintf("Adapters.Withdrawn[%d]", i)
		entry := adapterEntry(name)
		_, found := checker.inForce.Adapter(name.Model, name.Name)
		checker.once(key, entry)
		checker.presence(key, entry, found, true)
		checker.gone[entry] = true
	}
	checker.checkSlots()
}

func (checker *checker) checkAdapter(key string, adapter catalogue.Adapter, wanted bool) {
	entry := adapterEntry(adapter.FullName())
	_, found := checker.inForce.Adapter(adapter.Model, adapter.Name)
	checker.name(key+".Name", adapter.Name)
	checker.name(key+".Version", adapter.Version)
	checker.once(key+".Name", entry)
	checker.presence(key+".Name", entry, found, wanted)
	checker.checkModelOf(key+".Model", adapter.Model)
}

// checkModelOf refuses an adapter of a model that is unknown, withdrawn or without slots.
func (checker *checker) checkModelOf(key, name string) {
	model, found := checker.modelAfter(name)
	if !found {
		checker.refuse(key, "%s is not in force after this note", modelEntry(name))
		return
	}
	if model.AdapterSlots == 0 {
		checker.refuse(key, "%s has no AdapterSlots", modelEntry(name))
	}
}

// modelAfter returns the model as it is after the note.
func (checker *checker) modelAfter(name string) (catalogue.Model, bool) {
	if checker.gone[modelEntry(name)] {
		return catalogue.Model{}, false
	}
	if model, ok := checker.models[name]; ok {
		return model, true
	}
	return checker.inForce.Model(name)
}

// checkSlots refuses a changed model that loses the slots of adapters that stay.
func (checker *checker) checkSlots() {
	for i, model := range checker.note.Models.Changed {
		if model.AdapterSlots > 0 {
			continue
		}
		for adapter := range checker.inForce.Adapters(model.Name) {
			if !checker.gone[adapterEntry(adapter.FullName())] {
				checker.refuse(fmt.Sprintf("Models.Changed[%d].AdapterSlots", i), "%s has the adapter %s and needs slots", modelEntry(model.Name), adapter.Name)
				break
			}
		}
	}
}
