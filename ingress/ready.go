package ingress

import "net/http"

// Ready returns the handler of the readiness check.
func Ready(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
