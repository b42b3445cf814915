package ingress

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
)

const (
	// defaultBodyBytes is the largest body that is accepted before a configuration is known.
	defaultBodyBytes = 4 << 20
	// defaultBodyTimeout is the time to read the body of a client that states no timeout.
	defaultBodyTimeout = 30 * time.Second
)

// pastDeadline is a read deadline that has passed on any clock.
var pastDeadline = time.Unix(1, 0)

// readBody reads the whole body. It fails if the body is larger than the configured limit or does not arrive within
// the timeout of the client.
func (ingress *Ingress) readBody(writer http.ResponseWriter, incoming *http.Request, metadata *exchange.Metadata) ([]byte, *outcome.Error) {
	limit := int64(defaultBodyBytes)
	if configuration := ingress.deps.Relay.Configuration(); configuration != nil && configuration.Limits.BodyBytes > 0 {
		limit = configuration.Limits.BodyBytes
	}
	if incoming.ContentLength != 0 {
		stop := setReadTimeout(writer, ingress.deps.Clock, cmp.Or(metadata.ClientTimeout, defaultBodyTimeout))
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

// setReadTimeout makes reads from the client fail after the timeout, until the returned function is called.
func setReadTimeout(writer http.ResponseWriter, clk clock.WithTicker, timeout time.Duration) func() {
	controller := http.NewResponseController(writer)
	timer := clk.NewTimer(timeout)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-timer.C():
			// Connections without support for deadlines occur in tests only.
			_ = controller.SetReadDeadline(pastDeadline)
		case <-done:
		}
	}()
	return func() {
		timer.Stop()
		close(done)
		<-ended
		_ = controller.SetReadDeadline(time.Time{})
	}
}
