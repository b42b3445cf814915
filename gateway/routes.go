package gateway

import (
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	modelsPath     = "/v1/models"
	livePath       = "/health/live"
	readyPath      = "/health/ready"
	servicesPath   = "/services"

	// maxServiceDepth is the largest number of path elements of a service call.
	maxServiceDepth = 4
)

// restConf turns off whatever refuses requests outside the closed list of error kinds.
func restConf() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "gateway", Log: logx.LogConf{Mode: "console", Level: "severe"}},
	}
}

func (gateway *Gateway) fallbacks() []rest.RunOption {
	return []rest.RunOption{
		rest.WithChain(chain.New(gateway.recovered)),
		rest.WithNotFoundHandler(gateway.refuseWith(outcome.UnknownPath, "no interface is served under this path")),
		rest.WithNotAllowedHandler(gateway.refuseWith(outcome.MethodNotAllowed, "the path does not take this method")),
	}
}

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

// serviceRoutes has one route for each method and depth, since the router has no open-ended patterns.
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
