package gateway

import (
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/rest"

	"github.com/bronzestall/bronzestall/request"
)

const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
	livePath       = "/health/live"
	readyPath      = "/health/ready"
	servicesPath   = "/services"

	// maxServiceDepth is the maximum number of path elements of a service call.
	maxServiceDepth = 4
)

// routes returns the routes of all interfaces.
func (gateway *Gateway) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: chatPath, Handler: gateway.generate(request.Chat)},
		{Method: http.MethodPost, Path: completionPath, Handler: gateway.generate(request.Completion)},
		{Method: http.MethodGet, Path: modelsPath, Handler: gateway.models},
		{Method: http.MethodGet, Path: livePath, Handler: live},
		{Method: http.MethodGet, Path: readyPath, Handler: gateway.ready},
	}
	return append(routes, gateway.serviceRoutes()...)
}

// serviceRoutes returns one route for each method and path depth, because the router has no wildcard for the rest
// of a path.
func (gateway *Gateway) serviceRoutes() []rest.Route {
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	elements := []string{"/:a", "/:b", "/:c", "/:d"}
	var routes []rest.Route
	for _, method := range methods {
		for depth := 1; depth <= maxServiceDepth; depth++ {
			path := servicesPath + "/:service" + strings.Join(elements[:depth], "")
			routes = append(routes, rest.Route{Method: method, Path: path, Handler: gateway.call})
		}
	}
	return routes
}
