package gateway

import (
	"net/http"

	"github.com/gravitational/trace"
	"github.com/zeromicro/go-zero/rest"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/settings"
)

// Gateway serves callers. Use New.
type Gateway struct {
	settings settings.Settings
	names    Names
	runner   Runner
	health   Health
	meter    *meter.Meter
	clock    clock.PassiveClock
	callers  *callers
	serve    *rest.Serverless
}

// Parts are what a gateway works with. All are required.
type Parts struct {
	// Names tells what is in force.
	Names Names
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
func New(settings settings.Settings, parts Parts) (*Gateway, error) {
	gateway := &Gateway{
		settings: settings,
		names:    parts.Names,
		runner:   parts.Runner,
		health:   parts.Health,
		meter:    parts.Meter,
		clock:    parts.Clock,
		callers:  newCallers(settings.Tenants),
	}
	server, err := rest.NewServer(restConf(), gateway.fallbacks()...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	server.AddRoutes(gateway.routes())
	gateway.serve, err = rest.NewServerless(server)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return gateway, nil
}

// ServeHTTP serves one request of a caller.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	gateway.serve.Serve(writer, req)
}
