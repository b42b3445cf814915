package note

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/catalogue"
)

// methods are the HTTP methods that calls of plain services may use.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func serviceEntry(name string) catalogue.EntryName {
	return catalogue.EntryName{Kind: catalogue.ServiceKind, Name: name}
}

func (checker *checker) checkServices() {
	for i, service := range checker.note.Services.Added {
		checker.checkService(fmt.Sprintf("Services.Added[%d]", i), service, false)
	}
	for i, service := range checker.note.Services.Changed {
		checker.checkService(fmt.Sprintf("Services.Changed[%d]", i), service, true)
	}
	for i, name := range checker.note.Services.Withdrawn {
		key := fmt.Sprintf("Services.Withdrawn[%d]", i)
		_, found := checker.inForce.Service(name)
		checker.checkUnique(key, serviceEntry(name))
		checker.checkPresence(key, serviceEntry(name), found, true)
	}
}

func (checker *checker) checkService(key string, service catalogue.Service, mustExist bool) {
	entry := serviceEntry(service.Name)
	_, found := checker.inForce.Service(service.Name)
	checker.checkName(key+".Name", service.Name)
	if strings.Contains(service.Name, "/") {
		checker.addProblem(key+".Name", "%q contains a slash; the name is a single path segment", service.Name)
	}
	checker.checkUnique(key+".Name", entry)
	checker.checkPresence(key+".Name", entry, found, mustExist)
	checker.checkUpstreams(key+".Upstreams", service.Upstreams)
	checker.checkCalls(key+".Calls", service.Calls)
}

func (checker *checker) checkUpstreams(key string, upstreams []string) {
	if len(upstreams) == 0 {
		checker.addProblem(key, "must name at least one upstream")
	}
	for i, name := range upstreams {
		itemKey := fmt.Sprintf("%s[%d]", key, i)
		if slices.Index(upstreams, name) < i {
			checker.addProblem(itemKey, "upstream %q is listed twice", name)
		}
		if checker.capacity.Services != nil && !slices.Contains(checker.capacity.Services, name) {
			checker.addProblem(itemKey, "upstream %q is not a known plain service", name)
		}
	}
}

func (checker *checker) checkCalls(key string, calls []catalogue.Call) {
	if len(calls) == 0 {
		checker.addProblem(key, "must list at least one call")
	}
	for i, call := range calls {
		itemKey := fmt.Sprintf("%s[%d]", key, i)
		if !slices.Contains(methods, call.Method) {
			checker.addProblem(itemKey+".Method", "%q is not a method; allowed are %s", call.Method, strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(call.Path, "/") {
			checker.addProblem(itemKey+".Path", "%q does not begin with a slash", call.Path)
		}
		same := func(other catalogue.Call) bool { return other.Method == call.Method && other.Path == call.Path }
		if slices.IndexFunc(calls, same) < i {
			checker.addProblem(itemKey+".Path", "%s %s is listed twice", call.Method, call.Path)
		}
	}
}
