package ingress

import (
	"net/http"

	"github.com/bronzestall/bronzestall/internal/requestbody"
)

// Ready returns the handler of the readiness check, which responds 200 while isReady reports true and 503 otherwise.
func Ready(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		if incoming.ContentLength != 0 {
			requestbody.Abandon(writer)
		}
		if !isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
