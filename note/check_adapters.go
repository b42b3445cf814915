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
			checker.addProblem(key+".Name", "%s is identical to the one in force", adapterEntry(adapter.FullName()))
		}
	}
	for i, name := range checker.note.Adapters.Withdrawn {
		key := fmt.Sprintf("Adapters.Withdrawn[%d]", i)
		entry := adapterEntry(name)
		_, found := checker.inForce.Adapter(name.Model, name.Name)
		checker.checkUnique(key, entry)
		checker.checkPresence(key, entry, found, true)
		checker.withdrawn[entry] = true
	}
	checker.checkChangedSlots()
}

func (checker *checker) checkAdapter(key string, adapter catalogue.Adapter, mustExist bool) {
	entry := adapterEntry(adapter.FullName())
	_, found := checker.inForce.Adapter(adapter.Model, adapter.Name)
	checker.checkName(key+".Name", adapter.Name)
	checker.checkName(key+".Version", adapter.Version)
	checker.checkUnique(key+".Name", entry)
	checker.checkPresence(key+".Name", entry, found, mustExist)
	checker.checkAdapterModel(key+".Model", adapter.Model)
}

// checkAdapterModel adds a problem if the model of an adapter is not in force after the note or has no adapter slots.
func (checker *checker) checkAdapterModel(key, name string) {
	model, found := checker.modelAfter(name)
	if !found {
		checker.addProblem(key, "%s is not in force after this note", modelEntry(name))
		return
	}
	if model.AdapterSlots == 0 {
		checker.addProblem(key, "%s has no AdapterSlots", modelEntry(name))
	}
}

// modelAfter returns the model as it is after the note.
func (checker *checker) modelAfter(name string) (catalogue.Model, bool) {
	if checker.withdrawn[modelEntry(name)] {
		return catalogue.Model{}, false
	}
	if model, ok := checker.models[name]; ok {
		return model, true
	}
	return checker.inForce.Model(name)
}

// checkChangedSlots adds a problem for each changed model without adapter slots that keeps an adapter.
func (checker *checker) checkChangedSlots() {
	for i, model := range checker.note.Models.Changed {
		if model.AdapterSlots > 0 {
			continue
		}
		for adapter := range checker.inForce.Adapters(model.Name) {
			if !checker.withdrawn[adapterEntry(adapter.FullName())] {
				checker.addProblem(fmt.Sprintf("Models.Changed[%d].AdapterSlots", i), "%s has the adapter %s and needs slots", modelEntry(model.Name), adapter.Name)
				break
			}
		}
	}
}
