package ingress

import "net/http"

// Ready returns the handler of the readiness check, which responds 200 while isReady reports true and 503 otherwise.
func Ready(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
