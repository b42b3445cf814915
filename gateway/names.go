package gateway

import "github.com/bronzestall/bronzestall/catalogue"

// Resolver tells what is in force. Its errors are *outcome.Error values.
type Resolver interface {
	// Resolve checks that the target is in force.
	Resolve(target catalogue.Target) error
	// Call finds a call of a plain service.
	Call(service, method, path string) (catalogue.Call, error)
	// Targets lists the names that callers can put in the model field.
	Targets() []string
}
