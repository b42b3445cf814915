package ingress

import (
	"cmp"
	"net/http"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/internal/requestbody"
	"github.com/bronzestall/bronzestall/outcome"
)

const (
	// defaultBodyBytes is the largest body that is accepted before a configuration is known.
	defaultBodyBytes = 4 << 20
	// defaultBodyTimeout is the time to read the body of a client that states no timeout.
	defaultBodyTimeout = 30 * time.Second
)

// readBody reads the whole body. It fails if the body is larger than the configured limit or does not arrive within
// the timeout of the client.
func (ingress *Ingress) readBody(writer http.ResponseWriter, incoming *http.Request, metadata *exchange.Metadata) ([]byte, *outcome.Error) {
	limits := requestbody.Limits{Bytes: defaultBodyBytes, Timeout: cmp.Or(metadata.ClientTimeout, defaultBodyTimeout)}
	if configuration := ingress.deps.Relay.Configuration(); configuration != nil && configuration.Limits.BodyBytes > 0 {
		limits.Bytes = configuration.Limits.BodyBytes
	}
	broken := outcome.New(outcome.CallerGone, "the body ended early")
	return requestbody.Read(writer, incoming, ingress.deps.Clock, limits, broken)
}
