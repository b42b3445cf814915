package note

import (
	"fmt"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/strictyaml"
)

// The largest values of the fields of a model.
const (
	maxReplicas     = 10_000
	maxAdapterSlots = 10_000
	maxConcurrency  = 10_000
	// maxSizeBytes keeps the memory of a replica within an int64.
	maxSizeBytes = int64(256) << 40
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
		checker.checkModelDiffers(key, model)
	}
	for i, name := range checker.note.Models.Withdrawn {
		key := fmt.Sprintf("Models.Withdrawn[%d]", i)
		entry := modelEntry(name)
		_, found := checker.inForce.Model(name)
		checker.checkUnique(key, entry)
		checker.checkPresence(key, entry, found, true)
		checker.withdrawn[entry] = true
	}
}

func (checker *checker) checkModel(key string, model catalogue.Model, mustExist bool) {
	entry := modelEntry(model.Name)
	_, found := checker.inForce.Model(model.Name)
	checker.checkName(key+".Name", model.Name)
	checker.checkName(key+".Version", model.Version)
	checker.checkUnique(key+".Name", entry)
	checker.checkPresence(key+".Name", entry, found, mustExist)
	checker.checkMemory(key, model)
	checker.checkNumbers(key, model)
	checker.models[model.Name] = model
}

// checkModelDiffers adds a problem if a changed model is identical to the one in force.
func (checker *checker) checkModelDiffers(key string, model catalogue.Model) {
	if old, found := checker.inForce.Model(model.Name); found && old == model {
		checker.addProblem(key+".Name", "%s is identical to the one in force", modelEntry(model.Name))
	}
}

// checkMemory checks the sizes of a model, and that one replica fits the largest engine.
func (checker *checker) checkMemory(key string, model catalogue.Model) {
	if model.Weights <= 0 {
		checker.addProblem(key+".Weights", "must be above 0B, such as 26GiB")
	}
	sizesValid := checker.checkSize(key+".Weights", model.Weights)
	sizesValid = checker.checkSize(key+".Reserve", model.Reserve) && sizesValid
	sizesValid = checker.checkSize(key+".AdapterBytes", model.AdapterBytes) && sizesValid
	if (model.AdapterSlots > 0) != (model.AdapterBytes > 0) {
		checker.addProblem(key+".AdapterSlots", "AdapterSlots and AdapterBytes go together")
	}
	largest := checker.capacity.LargestEngine
	if sizesValid && largest > 0 && model.Memory() > largest {
		checker.addProblem(key+".Weights", "%s needs %s with reserve and adapter slots; the largest engine has %s",
			modelEntry(model.Name), strictyaml.FormatSize(model.Memory()), strictyaml.FormatSize(largest))
	}
}

// checkSize adds a problem if a size is above maxSizeBytes, and reports whether it is in range.
func (checker *checker) checkSize(key string, bytes int64) bool {
	if bytes <= maxSizeBytes {
		return true
	}
	checker.addProblem(key, "%s is out of range; allowed is up to %s", strictyaml.FormatSize(bytes), strictyaml.FormatSize(maxSizeBytes))
	return false
}

// checkNumbers checks the ranges of the integer fields of a model.
func (checker *checker) checkNumbers(key string, model catalogue.Model) {
	checker.checkRange(key+".AdapterSlots", model.AdapterSlots, maxAdapterSlots)
	checker.checkRange(key+".MinReplicas", model.MinReplicas, maxReplicas)
	checker.checkRange(key+".MaxReplicas", model.MaxReplicas, maxReplicas)
	checker.checkRange(key+".Concurrency", model.Concurrency, maxConcurrency)
	if maximum := max(1, model.MaxReplicas); model.MinReplicas > maximum {
		checker.addProblem(key+".MinReplicas", "%d is above MaxReplicas, which is %d", model.MinReplicas, maximum)
	}
}

// checkRange adds a problem if a number is below zero or above the maximum.
func (checker *checker) checkRange(key string, number, maximum int) {
	if number < 0 || number > maximum {
		checker.addProblem(key, "%d is out of range; allowed is 0 to %d", number, maximum)
	}
}

// checkWithdrawnModels adds a problem for each adapter that stays although its model is withdrawn.
func (checker *checker) checkWithdrawnModels() {
	for i, name := range checker.note.Models.Withdrawn {
		for adapter := range checker.inForce.Adapters(name) {
			if !checker.withdrawn[adapterEntry(adapter.FullName())] {
				checker.addProblem(fmt.Sprintf("Models.Withdrawn[%d]", i), "%s still has the adapter %s; withdraw it too", modelEntry(name), adapter.Name)
			}
		}
	}
}
