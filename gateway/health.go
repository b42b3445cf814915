package gateway

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"
)

// Health reports whether the daemon accepts requests.
type Health interface {
	// Ready reports whether the load balancer may send requests, and the reason if not.
	Ready() (ready bool, reason string)
}

// live answers the liveness check: a daemon that responds is live.
func live(writer http.ResponseWriter, req *http.Request) {
	writer.Header().Set(headerRequestID, newID())
	httpx.OkJsonCtx(req.Context(), writer, struct {
		Live bool `json:"Live"`
	}{true})
}

// ready answers the readiness check, with status 503 while the daemon is not ready.
func (gateway *Gateway) ready(writer http.ResponseWriter, req *http.Request) {
	ready, reason := gateway.health.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writer.Header().Set(headerRequestID, newID())
	httpx.WriteJsonCtx(req.Context(), writer, status, struct {
		Ready  bool   `json:"Ready"`
		Reason string `json:"Reason,omitempty"`
	}{ready, reason})
}
