package gateway

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"
)

// Health tells whether the daemon lives and whether it takes requests.
type Health interface {
	// Ready returns whether the balancer may send requests, and the reason if not.
	Ready() (ready bool, reason string)
}

func live(writer http.ResponseWriter, req *http.Request) {
	httpx.OkJsonCtx(req.Context(), writer, struct {
		Live bool `json:"Live"`
	}{true})
}

func (gateway *Gateway) ready(writer http.ResponseWriter, req *http.Request) {
	ready, reason := gateway.health.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	httpx.WriteJsonCtx(req.Context(), writer, status, struct {
		Ready  bool   `json:"Ready"`
		Reason string `json:"Reason,omitempty"`
	}{ready, reason})
}
