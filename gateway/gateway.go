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

// Gateway serves callers. Use New.
type Gateway struct {
	settings settings.Settings
	names    Resolver
	runner   Runner
	health   Health
	meter    *meter.Meter
	clock    clock.PassiveClock
	callers  *callers
	handler  http.Handler
}

// Deps are what a gateway works with. All are required.
type Deps struct {
	// Resolver tells what is in force.
	Resolver Resolver
	// Runner answers requests.
	Runner Runner
	// Health answers the balancer.
	Health Health
	// Meter counts.
	Meter *meter.Meter
	// Clock gives arrival times.
	Clock clock.PassiveClock
}

// New returns a gateway. It fails if the routes cannot be built.
func New(settings settings.Settings, parts Deps) (*Gateway, error) {
	gateway := &Gateway{
		settings: settings,
		names:    parts.Resolver,
		runner:   parts.Runner,
		health:   parts.Health,
		meter:    parts.Meter,
		clock:    parts.Clock,
		callers:  newCallers(settings.Tenants),
	}
	router := router.NewRouter()
	router.SetNotFoundHandler(gateway.refuseWith(outcome.UnknownPath, "no interface is served under this path"))
	router.SetNotAllowedHandler(gateway.refuseWith(outcome.MethodNotAllowed, "the path does not take this method"))
	for _, route := range gateway.routes() {
		if err := router.Handle(route.Method, route.Path, route.Handler); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	gateway.handler = gateway.recovered(router)
	return gateway, nil
}

// ServeHTTP serves one request of a caller.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	gateway.handler.ServeHTTP(writer, req)
}
