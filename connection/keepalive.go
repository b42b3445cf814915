package connection

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveTimeout returns the time after which the upstream closes an unused connection, or zero if the Keep-Alive
// header does not state it.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
