package daemon

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/outcome"
)

// inForce returns the catalogue in force and its number, or false while neither is known.
type inForce func() (catalogue.Catalogue, uint64, bool)

// catalogue returns the catalogue in force, or NotReady.
func (state inForce) catalogue() (catalogue.Catalogue, error) {
	known, _, ok := state()
	if !ok {
		return catalogue.Catalogue{}, outcome.New(outcome.NotReady, "the state in force is not known yet")
	}
	return known, nil
}

// names answers the gateway from the catalogue in force.
type names struct {
	state inForce
}

// Resolve checks that the target is in force.
func (names names) Resolve(target catalogue.Target) error {
	known, err := names.state.catalogue()
	if err != nil {
		return err
	}
	if _, _, failure := known.Resolve(target); failure != nil {
		return failure
	}
	return nil
}

// Call finds a call of a plain service.
func (names names) Call(service, method, path string) (catalogue.Call, error) {
	known, err := names.state.catalogue()
	if err != nil {
		return catalogue.Call{}, err
	}
	_, call, failure := known.ResolveCall(service, method, path)
	if failure != nil {
		return catalogue.Call{}, failure
	}
	return call, nil
}

// Targets lists models and models with adapters.
func (names names) Targets() []string {
	known, err := names.state.catalogue()
	if err != nil {
		return nil
	}
	var targets []string
	for model := range known.Models() {
		targets = append(targets, model.Name)
		for adapter := range known.Adapters(model.Name) {
			targets = append(targets, catalogue.Target{Model: model.Name, Adapter: adapter.Name}.String())
		}
	}
	return targets
}
