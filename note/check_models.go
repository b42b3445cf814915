package note

import (
	"fmt"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// The largest numbers of a model.
const (
	mostReplicas    = 10_000
	mostSlots       = 10_000
	mostConcurrency = 10_000
	// mostBytes keeps the memory of a replica within an int64.
	mostBytes = int64(256) << 40
)

func modelEntry(name string) catalogue.EntryName {
	return catalogue.EntryName{Kind: catalogue.ModelKind, Name: name}
}

func (checker *checker) checkModels() {
	for i, model := range checker.note.Models.Added {
		checker.checkModel(fmt.Sprintf("Models.Added[%d]", i), model, false)
	}
	for i, model := range checker.note.Models.Changed {
		key := fmt.Sprintf("Models.Changed[%d]", i)
		checker.checkModel(key, model, true)
		checker.checkDifferent(key, model)
	}
	for i, name := range checker.note.Models.Withdrawn {
		key := fmt.Sprintf("Models.Withdrawn[%d]", i)
		entry := modelEntry(name)
		_, found := checker.inForce.Model(name)
		checker.once(key, entry)
		checker.presence(key, entry, found, true)
		checker.gone[entry] = true
	}
}

func (checker *checker) checkModel(key string, model catalogue.Model, wanted bool) {
	entry := modelEntry(model.Name)
	_, found := checker.inForce.Model(model.Name)
	checker.name(key+".Name", model.Name)
	checker.name(key+".Version", model.Version)
	checker.once(key+".Name", entry)
	checker.presence(key+".Name", entry, found, wanted)
	checker.checkMemory(key, model)
	checker.checkNumbers(key, model)
	checker.models[model.Name] = model
}

func (checker *checker) checkDifferent(key string, model catalogue.Model) {
	if old, found := checker.inForce.Model(model.Name); found && old == model {
		checker.refuse(key+".Name", "%s is the same in force", modelEntry(model.Name))
	}
}

func (checker *checker) checkMemory(key string, model catalogue.Model) {
	if model.Weights <= 0 {
		checker.refuse(key+".Weights", "must be above 0B, such as 26GiB")
	}
	sizes := checker.size(key+".Weights", model.Weights)
	sizes = checker.size(key+".Reserve", model.Reserve) && sizes
	sizes = checker.size(key+".AdapterBytes", model.AdapterBytes) && sizes
	if (model.AdapterSlots > 0) != (model.AdapterBytes > 0) {
		checker.refuse(key+".AdapterSlots", "AdapterSlots and AdapterBytes go together")
	}
	largest := checker.capacity.LargestEngine
	if sizes && largest > 0 && model.Memory() > largest {
		checker.refuse(key+".Weights", "%s needs %s with reserve and adapter slots; the largest engine has %s",
			modelEntry(model.Name), strictyaml.FormatSize(model.Memory()), strictyaml.FormatSize(largest))
	}
}

// size refuses a size above mostBytes and reports whether it is in range.
func (checker *checker) size(key string, bytes int64) bool {
	if bytes <= mostBytes {
		return true
	}
	checker.refuse(key, "%s is out of range; allowed is up to %s", strictyaml.FormatSize(bytes), strictyaml.FormatSize(mostBytes))
	return false
}

func (checker *checker) checkNumbers(key string, model catalogue.Model) {
	checker.between(key+".AdapterSlots", model.AdapterSlots, mostSlots)
	checker.between(key+".MinReplicas", model.MinReplicas, mostReplicas)
	checker.between(key+".MaxReplicas", model.MaxReplicas, mostReplicas)
	checker.between(key+".Concurrency", model.Concurrency, mostConcurrency)
	if most := max(1, model.MaxReplicas); model.MinReplicas > most {
		checker.refuse(key+".MinReplicas", "%d is above MaxReplicas, which is %d", model.MinReplicas, most)
	}
}

// between refuses a number below zero or above most.
func (checker *checker) between(key string, number, most int) {
	if number < 0 || number > most {
		checker.refuse(key, "%d is out of range; allowed is 0 to %d", number, most)
	}
}

// checkWithdrawnModels refuses models that end while an adapter of theirs stays.
func (checker *checker) checkWithdrawnModels() {
	for i, name := range checker.note.Models.Withdrawn {
		for adapter := range checker.inForce.Adapters(name) {
			if !checker.gone[adapterEntry(adapter.FullName())] {
				checker.refuse(fmt.Sprintf("Models.Withdrawn[%d]", i), "%s still has the adapter %s; withdraw it too", modelEntry(name), adapter.Name)
			}
		}
	}
}
