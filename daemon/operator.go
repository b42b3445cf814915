package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/bronzestall/bronzestall/outcome"
)

// operatorHandler serves status, metrics and health to operators. The health check needs no key.
func (daemon *Daemon) operatorHandler(callerHandler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /status", daemon.operatorsOnly(http.HandlerFunc(daemon.serveStatus)))
	mux.Handle("GET /metrics", daemon.operatorsOnly(daemon.meter.Handler()))
	mux.Handle("GET /health/", callerHandler)
	return mux
}

// operatorsOnly rejects requests without the operators' key. The key is read from its file for each request,
// so that it can be replaced without a restart. Without a key file in the settings all requests are allowed.
func (daemon *Daemon) operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, req *http.Request) {
		if daemon.isOperator(req) {
			next.ServeHTTP(writer, req)
			return
		}
		entry := outcome.Unauthenticated.Entry()
		http.Error(writer, entry.Name+": the header Authorization must carry the operators' key", entry.Status)
	})
}

// isOperator reports whether the request carries the operators' key. An empty or unreadable key file
// matches no request.
func (daemon *Daemon) isOperator(req *http.Request) bool {
	if daemon.settings.OperatorKeyFile == "" {
		return true
	}
	content, err := os.ReadFile(daemon.settings.OperatorKeyFile)
	key := strings.TrimSpace(string(content))
	if err != nil || key == "" {
		return false
	}
	presented := sha256.Sum256([]byte(strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")))
	expected := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(presented[:], expected[:]) == 1
}

// serveStatus writes the status report as JSON.
func (daemon *Daemon) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(daemon.report())
}
