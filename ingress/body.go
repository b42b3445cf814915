package ingress

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/internal/readtimeout"
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
	limit := int64(defaultBodyBytes)
	if configuration := ingress.deps.Relay.Configuration(); configuration != nil && configuration.Limits.BodyBytes > 0 {
		limit = configuration.Limits.BodyBytes
	}
	if incoming.ContentLength != 0 {
		stop := readtimeout.Set(writer, ingress.deps.Clock, cmp.Or(metadata.ClientTimeout, defaultBodyTimeout))
		defer stop()
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, incoming.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, outcome.New(outcome.BodyTooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		writer.Header().Set("Connection", "close")
		return nil, outcome.New(outcome.DeadlineInQueue, "the deadline passed before the whole body came")
	}
	return nil, outcome.New(outcome.CallerGone, "the body ended early").WithCause(err)
}
