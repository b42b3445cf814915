package daemon

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/outcome"
)

// inForce returns the catalogue in force and its number, or false until one has been read.
type inForce func() (catalogue.Catalogue, uint64, bool)

// catalogue returns the catalogue in force, or an error of kind NotReady.
func (state inForce) catalogue() (catalogue.Catalogue, error) {
	current, _, ok := state()
	if !ok {
		return catalogue.Catalogue{}, outcome.New(outcome.NotReady, "the state in force is not known yet")
	}
	return current, nil
}

// resolver looks up names in the catalogue in force for the gateway.
type resolver struct {
	state inForce
}

// Resolve fails unless the target is in force.
func (resolver resolver) Resolve(target catalogue.Target) error {
	current, err := resolver.state.catalogue()
	if err != nil {
		return err
	}
	if _, _, failure := current.Resolve(target); failure != nil {
		return failure
	}
	return nil
}

// Call returns the call of a plain service with the method and path. It fails if none matches.
func (resolver resolver) Call(service, method, path string) (catalogue.Call, error) {
	current, err := resolver.state.catalogue()
	if err != nil {
		return catalogue.Call{}, err
	}
	_, call, failure := current.ResolveCall(service, method, path)
	if failure != nil {
		return catalogue.Call{}, failure
	}
	return call, nil
}

// Targets lists the models and the pairs of model and adapter in force, or nothing while no catalogue is known.
func (resolver resolver) Targets() []string {
	current, err := resolver.state.catalogue()
	if err != nil {
		return nil
	}
	var targets []string
	for model := range current.Models() {
		targets = append(targets, model.Name)
		for adapter := range current.Adapters(model.Name) {
			targets = append(targets, catalogue.Target{Model: model.Name, Adapter: adapter.Name}.String())
		}
	}
	return targets
}
