package gateway

import "github.com/bronzestall/bronzestall/catalogue"

// Resolver looks up models and calls of the catalogue in force. Its errors are *outcome.Error values.
type Resolver interface {
	// Resolve returns an error unless the model, and the adapter if there is one, are in force.
	Resolve(target catalogue.Target) error
	// Call returns the call of a plain service that has the method and path.
	Call(service, method, path string) (catalogue.Call, error)
	// Targets lists the valid values of the model field of a request.
	Targets() []string
}
