package decider

import (
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/placement"
)

// wish asks for a bounded number of models what is to be kept warm, going round the catalogue,
// so that the cost of a step does not grow with idle models.
func (reign *reign) wish() {
	for name := range reign.warm {
		if _, inForce := reign.catalogue.Model(name); !inForce {
			delete(reign.warm, name)
		}
	}
	names := reign.catalogue.Names()
	for range min(warmPerStep, len(names)) {
		reign.cursor %= len(names)
		reign.wishFor(names[reign.cursor])
		reign.cursor++
	}
}

func (reign *reign) wishFor(name string) {
	model, inForce := reign.catalogue.Model(name)
	if !inForce {
		return
	}
	wanted := max(model.MinReplicas, reign.decider.deps.WarmPolicy.Wanted(name, reign.now))
	if wanted > 0 {
		reign.warm[name] = wanted
		return
	}
	delete(reign.warm, name)
}

func (reign *reign) warmWishes() []placement.Warm {
	wishes := make([]placement.Warm, 0, len(reign.warm))
	for name, replicas := range reign.warm {
		wishes = append(wishes, placement.Warm{Model: name, Replicas: replicas})
	}
	slices.SortFunc(wishes, func(a, b placement.Warm) int { return strings.Compare(a.Model, b.Model) })
	return wishes
}

// isWanted reports whether requests or wishes ask for the model.
func (reign *reign) isWanted(name string) bool {
	if reign.warm[name] > 0 {
		return true
	}
	for _, need := range reign.needs {
		if need.Model == name && need.Waiting > 0 {
			return true
		}
	}
	return false
}
