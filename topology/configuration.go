package topology

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the operator's settings. It is immutable after Index.
type Configuration struct {
	// Version increases with each change.
	Version uint64
	// Routes lists the routes.
	Routes []Route
	// Services maps names to services.
	Services map[string]Service
	// Limits bounds the requests of clients.
	Limits Limits
	// byHost maps hosts to routes, the longest prefix first.
	byHost map[string][]*Route
}

// Limits bounds the requests of clients. A zero value sets no limit.
type Limits struct {
	// HeaderBytes and BodyBytes bound the header and the body of a request.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time to receive a header, and IdleTimeout the time between two requests on a
	// connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Index builds the look-up table of Match and returns the configuration.
func (configuration *Configuration) Index() *Configuration {
	configuration.byHost = map[string][]*Route{}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		configuration.byHost[route.Host] = append(configuration.byHost[route.Host], route)
	}
	for _, routes := range configuration.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return configuration
}

// Match returns the route of the host with the longest matching path prefix, or nil. The cost is linear in the
// number of routes of the host.
func (configuration *Configuration) Match(host, path string) *Route {
	for _, route := range configuration.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// VisitEngineServices calls visit for each service with model engines, in no particular order.
func (configuration *Configuration) VisitEngineServices(visit func(service *Service)) {
	for name := range configuration.Services {
		service := configuration.Services[name]
		if service.Engine != nil {
			visit(&service)
		}
	}
}
