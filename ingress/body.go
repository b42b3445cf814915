package ingress

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/internal/requestbody"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
)

const (
	// defaultBodyBytes is the largest body that is accepted before a configuration is known.
	defaultBodyBytes = 4 << 20
	// defaultBodyTimeout is the time to read the body of a client that states no timeout.
	defaultBodyTimeout = 30 * time.Second
	// maxDrainedBytes and drainTimeout bound what is read of the body of a request that is refused for its head, so that its connection
	// can be used again.
	maxDrainedBytes = 64 << 10
	drainTimeout    = 500 * time.Millisecond
)

// readBody reads the whole body. It fails if the body is larger than the configured limit or does not arrive within
// the timeout of the client.
func (ingress *Ingress) readBody(writer http.ResponseWriter, incoming *http.Request, metadata *exchange.Metadata) (*requestbody.Body, *outcome.Error) {
	limits := requestbody.Limits{
		Bytes:    defaultBodyBytes,
		Timeout:  cmp.Or(metadata.ClientTimeout, defaultBodyTimeout),
		Progress: ingress.deps.BodyProgress,
		Held:     ingress.deps.Held,
	}
	if configuration := ingress.deps.Relay.Configuration(); configuration != nil && configuration.Limits.BodyBytes > 0 {
		limits.Bytes = configuration.Limits.BodyBytes
	}
	broken := outcome.New(outcome.CallerGone, "the body ended early")
	body, failure := requestbody.Read(writer, incoming, ingress.deps.Clock, limits, broken)
	if failure != nil {
		ingress.recordBody(incoming, failure)
	}
	return body, failure
}

// recordBody logs and counts a body that was ended by a bound that clients inside the limits do not meet.
func (ingress *Ingress) recordBody(incoming *http.Request, failure *outcome.Error) {
	fields := []any{"Client", incoming.RemoteAddr, "Path", incoming.URL.Path, "Length", incoming.ContentLength}
	switch {
	case errors.Is(failure.Cause, bytebudget.ErrShort):
		event.BodyEndedForRoom.Log(fields...)
	case errors.Is(failure.Cause, requestbody.ErrStalled):
		ingress.deps.Meter.Count(meter.BodiesStalled, meter.Labels{}, 1)
		event.BodyStalled.Log(fields...)
	}
}

// drain reads a short body of a request that was refused for its head. If the rest of the body does not come soon, the connection is closed
// after the response.
func (ingress *Ingress) drain(writer http.ResponseWriter, incoming *http.Request) {
	if incoming.ContentLength == 0 || incoming.Header.Get("Expect") != "" {
		// A client that waits for 100 Continue gets the refusal instead; the server closes the connection.
		return
	}
	if incoming.ContentLength > maxDrainedBytes || !requestbody.Drain(writer, incoming, ingress.deps.Clock, maxDrainedBytes, drainTimeout) {
		requestbody.Abandon(writer)
	}
}
