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

// operatorHandler serves status, metrics and health to operators.
func (daemon *Daemon) operatorHandler(front http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /status", daemon.operatorsOnly(http.HandlerFunc(daemon.serveStatus)))
	mux.Handle("GET /metrics", daemon.operatorsOnly(daemon.meter.Handler()))
	mux.Handle("GET /health/", front)
	return mux
}

// operatorsOnly refuses requests without the operators' key. The key is read anew for each request,
// so that it can be replaced without a restart. Settings without a key file ask for none.
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

func (daemon *Daemon) isOperator(req *http.Request) bool {
	if daemon.settings.OperatorKeyFile == "" {
		return true
	}
	content, err := os.ReadFile(daemon.settings.OperatorKeyFile)
	key := strings.TrimSpace(string(content))
	if err != nil || key == "" {
		return false
	}
	given := sha256.Sum256([]byte(strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")))
	wanted := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(given[:], wanted[:]) == 1
}

func (daemon *Daemon) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(daemon.report())
}
