package gateway

import (
	"net/http"

	"github.com/gravitational/trace"
	"github.com/zeromicro/go-zero/rest/router"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/settings"
)

// Gateway is the HTTP handler of requests by callers. Use New.
type Gateway struct {
	settings      settings.Settings
	resolver      Resolver
	runner        Runner
	health        Health
	meter         *meter.Meter
	clock         clock.WithTicker
	authenticator *authenticator
	handler       http.Handler
}

// Deps holds the dependencies of a Gateway. All are required.
type Deps struct {
	// Resolver looks up models and calls of the catalogue in force.
	Resolver Resolver
	// Runner runs admitted requests.
	Runner Runner
	// Health provides the result of the readiness check.
	Health Health
	// Meter records counts and latencies.
	Meter *meter.Meter
	// Clock provides the arrival times of requests and the timeouts of their bodies.
	Clock clock.WithTicker
}

// New returns a gateway. It returns an error if the routes cannot be registered.
func New(settings settings.Settings, deps Deps) (*Gateway, error) {
	gateway := &Gateway{
		settings:      settings,
		resolver:      deps.Resolver,
		runner:        deps.Runner,
		health:        deps.Health,
		meter:         deps.Meter,
		clock:         deps.Clock,
		authenticator: newAuthenticator(settings.Tenants),
	}
	router := router.NewRouter()
	router.SetNotFoundHandler(gateway.refuseWith(outcome.UnknownPath, "no interface is served under this path"))
	router.SetNotAllowedHandler(gateway.refuseWith(outcome.MethodNotAllowed, "the path does not take this method"))
	for _, route := range gateway.routes() {
		if err := router.Handle(route.Method, route.Path, route.Handler); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	gateway.handler = gateway.recoverPanics(router)
	return gateway, nil
}

// ServeHTTP serves one request of a caller.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	gateway.handler.ServeHTTP(writer, req)
}
