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

// admitted is a request with the time by which its answer must end.
type admitted struct {
	request.Request
	end time.Time
}

// base fills what all forms share: identity, tenant, class and deadlines.
func (gateway *Gateway) base(req *http.Request, id string) (admitted, error) {
	arrived := gateway.clock.Now()
	made := admitted{Request: request.Request{ID: id, Arrived: arrived, Tokens: 1}}
	tenant, err := gateway.callers.tenant(req)
	if err != nil {
		return made, err
	}
	made.Tenant = tenant
	class, err := gateway.class(req.Header.Get(headerClass))
	if err != nil {
		return made, err
	}
	made.Class = class.Name
	made.Priority = class.Priority
	deadline, err := beginWithin(req.Header.Get(headerDeadline), class)
	if err != nil {
		return made, err
	}
	made.Deadline = arrived.Add(deadline)
	made.end = arrived.Add(orDefault(class.Total, defaultTotal))
	made.ContentType = req.Header.Get("Content-Type")
	made.IdempotencyKey = req.Header.Get(headerKey)
	return made, nil
}

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

// beginWithin returns the shorter of the caller's and the class's time to the begin of the answer.
func beginWithin(header string, class settings.Class) (time.Duration, error) {
	deadline := orDefault(class.Deadline, defaultDeadline)
	if header == "" {
		return deadline, nil
	}
	asked, err := time.ParseDuration(header)
	if err != nil || asked <= 0 {
		return 0, outcome.New(outcome.MissingField, "the header %s must be a duration such as 1.5s", headerDeadline)
	}
	return min(asked, deadline), nil
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

// admitPrompt makes a request of a chat or completion.
func (gateway *Gateway) admitPrompt(writer http.ResponseWriter, req *http.Request, form request.API, id string) (admitted, error) {
	made, err := gateway.base(req, id)
	if err != nil {
		return made, err
	}
	body, err := gateway.readBody(writer, req)
	if err != nil {
		return made, err
	}
	parsed, err := parsePrompt(body)
	if err != nil {
		return made, err
	}
	made.API = form
	made.Target = catalogue.ParseTarget(parsed.Model)
	made.Stream = parsed.Stream
	made.Tokens = parsed.tokens()
	made.Idempotent = true
	made.Body = body
	made.Prefix = xxhash.Sum64(parsed.prefix())
	made.Fingerprint = fingerprint(made.Tenant, req.URL.Path, body)
	return made, gateway.names.Resolve(made.Target)
}

// admitCall makes a request of a call of a plain service.
func (gateway *Gateway) admitCall(writer http.ResponseWriter, req *http.Request, id string) (admitted, error) {
	made, err := gateway.base(req, id)
	if err != nil {
		return made, err
	}
	service, path := splitService(req.URL.Path)
	call, err := gateway.names.Call(service, req.Method, path)
	if err != nil {
		return made, err
	}
	body, err := gateway.readBody(writer, req)
	if err != nil {
		return made, err
	}
	made.API = request.ServiceCall
	made.Service = service
	made.Call = call
	made.Idempotent = call.Idempotent
	made.Body = body
	made.Fingerprint = fingerprint(made.Tenant, req.Method+" "+req.URL.Path, body)
	return made, nil
}

// splitService splits /services/name/rest into name and /rest.
func splitService(path string) (service, call string) {
	below := strings.TrimPrefix(path, servicesPath+"/")
	service, call, _ = strings.Cut(below, "/")
	return service, "/" + call
}

func fingerprint(tenant, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(tenant)
	_, _ = digest.WriteString("\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}
