package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/settings"
)

const (
	defaultDeadline = 30 * time.Second
	defaultTotal    = 10 * time.Minute
)

// admission is an admitted request with the time by which its response must be complete.
type admission struct {
	request.Request
	end time.Time
}

// newAdmission fills in what requests of all interfaces have: identifier, tenant, class and deadlines.
func (gateway *Gateway) newAdmission(req *http.Request, id string) (admission, error) {
	arrived := gateway.clock.Now()
	admitted := admission{Request: request.Request{ID: id, Arrived: arrived, Tokens: 1}}
	tenant, err := gateway.authenticator.tenant(req)
	if err != nil {
		return admitted, err
	}
	admitted.Tenant = tenant
	class, err := gateway.class(req.Header.Get(headerClass))
	if err != nil {
		return admitted, err
	}
	admitted.Class = class.Name
	admitted.Priority = class.Priority
	deadline, err := startTimeout(req.Header.Get(headerDeadline), class)
	if err != nil {
		return admitted, err
	}
	admitted.Deadline = arrived.Add(deadline)
	admitted.end = arrived.Add(orDefault(class.Total, defaultTotal))
	admitted.ContentType = req.Header.Get("Content-Type")
	admitted.IdempotencyKey = req.Header.Get(headerKey)
	return admitted, nil
}

// class returns the class with the name, or the first class if the name is empty.
func (gateway *Gateway) class(name string) (settings.Class, error) {
	classes := gateway.settings.Classes
	if name == "" && len(classes) > 0 {
		return classes[0], nil
	}
	for _, class := range classes {
		if class.Name == name {
			return class, nil
		}
	}
	if name == "" {
		return settings.Class{Name: "default"}, nil
	}
	return settings.Class{}, outcome.New(outcome.MissingField, "the header %s names no class of the settings", headerClass)
}

// startTimeout returns the time within which the response must start: the value of the header or the deadline
// of the class, whichever is shorter.
func startTimeout(header string, class settings.Class) (time.Duration, error) {
	deadline := orDefault(class.Deadline, defaultDeadline)
	if header == "" {
		return deadline, nil
	}
	requested, err := time.ParseDuration(header)
	if err != nil || requested <= 0 {
		return 0, outcome.New(outcome.MissingField, "the header %s must be a duration such as 1.5s", headerDeadline)
	}
	return min(requested, deadline), nil
}

// orDefault returns the value if it is positive and the default otherwise.
func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

// admitPrompt admits a chat or text completion.
func (gateway *Gateway) admitPrompt(writer http.ResponseWriter, req *http.Request, api request.API, id string) (admission, error) {
	admitted, err := gateway.newAdmission(req, id)
	if err != nil {
		return admitted, err
	}
	body, err := gateway.readBody(writer, req, admitted.Deadline)
	if err != nil {
		return admitted, err
	}
	parsed, err := parsePrompt(body)
	if err != nil {
		return admitted, err
	}
	admitted.API = api
	admitted.Target = catalogue.ParseTarget(parsed.Model)
	admitted.Stream = parsed.Stream
	admitted.Tokens = parsed.tokens()
	admitted.Idempotent = true
	admitted.Body = body
	admitted.Prefix = xxhash.Sum64(parsed.prefix())
	admitted.Fingerprint = fingerprint(admitted.Tenant, req.URL.Path, body)
	return admitted, gateway.resolver.Resolve(admitted.Target)
}

// admitCall admits a call of a plain service.
func (gateway *Gateway) admitCall(writer http.ResponseWriter, req *http.Request, id string) (admission, error) {
	admitted, err := gateway.newAdmission(req, id)
	if err != nil {
		return admitted, err
	}
	service, path := splitService(req.URL.Path)
	call, err := gateway.resolver.Call(service, req.Method, path)
	if err != nil {
		return admitted, err
	}
	body, err := gateway.readBody(writer, req, admitted.Deadline)
	if err != nil {
		return admitted, err
	}
	admitted.API = request.ServiceCall
	admitted.Service = service
	admitted.Call = call
	admitted.Idempotent = call.Idempotent
	admitted.Body = body
	admitted.Fingerprint = fingerprint(admitted.Tenant, req.Method+" "+req.URL.Path, body)
	return admitted, nil
}

// splitService splits /services/name/rest into name and /rest.
func splitService(path string) (service, call string) {
	rest := strings.TrimPrefix(path, servicesPath+"/")
	service, call, _ = strings.Cut(rest, "/")
	return service, "/" + call
}

// fingerprint returns the hash of tenant, path and body.
func fingerprint(tenant, path string, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(tenant)
	_, _ = hash.WriteString("\x00" + path + "\x00")
	_, _ = hash.Write(body)
	return hash.Sum64()
}
