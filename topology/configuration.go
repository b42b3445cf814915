package topology

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one version of what the operator wants. It is immutable after Index.
type Configuration struct {
	// Version rises with each change.
	Version uint64
	// Routes lists the routes.
	Routes []Route
	// Services maps names to services.
	Services map[string]Service
	// Limits bounds what clients may send.
	Limits Limits
	// byHost maps hosts to routes, the longest prefix first.
	byHost map[string][]*Route
}

// Limits bounds what clients may send. A zero value sets no bound.
type Limits struct {
	// HeaderBytes and BodyBytes bound the head and the body of a request.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the time in which a head is sent, and IdleTimeout that between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Index prepares Match and returns the configuration.
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

// Match returns the route of the host with the longest prefix of the path, or nil.
// Its cost grows with the number of routes of the host.
func (configuration *Configuration) Match(host, path string) *Route {
	for _, route := range configuration.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// VisitEngineServices calls visit for each service with model engines.
func (configuration *Configuration) VisitEngineServices(visit func(service *Service)) {
	for name := range configuration.Services {
		service := configuration.Services[name]
		if service.Engine != nil {
			visit(&service)
		}
	}
}
