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
	// Accounts lists the client accounts. If there are any, requests need a key unless their route is public.
	Accounts []Account
	// byKey maps the digests of keys to accounts. A key of several accounts belongs to the first.
	byKey map[KeyDigest]*Account
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

// Index builds the look-up tables of Match and AccountOf and returns the configuration.
func (configuration *Configuration) Index() *Configuration {
	configuration.byHost = map[string][]*Route{}
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		configuration.byHost[route.Host] = append(configuration.byHost[route.Host], route)
	}
	configuration.byKey = map[KeyDigest]*Account{}
	for index := range configuration.Accounts {
		account := &configuration.Accounts[index]
		for _, key := range account.Keys {
			if _, taken := configuration.byKey[key]; !taken {
				configuration.byKey[key] = account
			}
		}
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

// HasAccounts reports whether requests need keys.
func (configuration *Configuration) HasAccounts() bool {
	return len(configuration.Accounts) > 0
}

// KeyCount returns the number of different keys of all accounts.
func (configuration *Configuration) KeyCount() int {
	return len(configuration.byKey)
}

// AccountOf returns the account that the key identifies, or nil.
func (configuration *Configuration) AccountOf(key string) *Account {
	if key == "" {
		return nil
	}
	return configuration.byKey[DigestKey(key)]
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
