package catalogue

import (
	"slices"

	"github.com/bronzestall/bronzestall/outcome"
)

// Resolve returns the model of the target, and the adapter if the target has one. It fails with Withdrawn or
// UnknownModel.
func (catalogue Catalogue) Resolve(target Target) (Model, Adapter, *outcome.Error) {
	model, ok := catalogue.Model(target.Model)
	if !ok {
		return Model{}, Adapter{}, catalogue.notFoundError(EntryName{Kind: ModelKind, Name: target.Model}, outcome.UnknownModel)
	}
	if target.Adapter == "" {
		return model, Adapter{}, nil
	}
	adapter, ok := catalogue.Adapter(target.Model, target.Adapter)
	if !ok {
		return Model{}, Adapter{}, catalogue.notFoundError(EntryName{Kind: AdapterKind, Name: target.String()}, outcome.UnknownModel)
	}
	return model, adapter, nil
}

// ResolveCall returns the plain service and its call with the method and path. It fails with Withdrawn or
// UnknownService, or with MethodNotAllowed if the path exists with another method only.
func (catalogue Catalogue) ResolveCall(service, method, path string) (Service, Call, *outcome.Error) {
	found, failure := catalogue.ResolveService(service)
	if failure != nil {
		return Service{}, Call{}, failure
	}
	call, ok := found.Call(method, path)
	if ok {
		return found, call, nil
	}
	if slices.ContainsFunc(found.Calls, func(call Call) bool { return call.Path == path }) {
		return Service{}, Call{}, outcome.New(outcome.MethodNotAllowed, "the call %s of service %s does not take %s", path, service, method)
	}
	return Service{}, Call{}, outcome.New(outcome.UnknownService, "service %s has no call %s", service, path)
}

// ResolveService returns the plain service in force. It fails with Withdrawn or UnknownService.
func (catalogue Catalogue) ResolveService(name string) (Service, *outcome.Error) {
	service, ok := catalogue.Service(name)
	if !ok {
		return Service{}, catalogue.notFoundError(EntryName{Kind: ServiceKind, Name: name}, outcome.UnknownService)
	}
	return service, nil
}

// Call returns the call with the method and the path, and whether there is one.
func (service Service) Call(method, path string) (Call, bool) {
	index := slices.IndexFunc(service.Calls, func(call Call) bool { return call.Method == method && call.Path == path })
	if index < 0 {
		return Call{}, false
	}
	return service.Calls[index], true
}

// notFoundError returns Withdrawn if the entry was withdrawn, and an error of the given kind otherwise.
func (catalogue Catalogue) notFoundError(name EntryName, kind outcome.Kind) *outcome.Error {
	if catalogue.Withdrawn(name) {
		return outcome.New(outcome.Withdrawn, "%s was withdrawn", name)
	}
	return outcome.New(kind, "%s is not in force", name)
}
