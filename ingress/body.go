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
	// defaultBodyBytes bounds a body before a configuration is known.
	defaultBodyBytes = 4 << 20
	// defaultBodyTime bounds the time of a body whose client does not tell how long it waits.
	defaultBodyTime = 30 * time.Second
)

// longAgo is a deadline that has passed by any clock.
var longAgo = time.Unix(1, 0)

// readBody reads the whole body, of which the client may send so many bytes within the time that it waits.
func (ingress *Ingress) readBody(writer http.ResponseWriter, incoming *http.Request, traits *exchange.Metadata) ([]byte, *outcome.Error) {
	limit := int64(defaultBodyBytes)
	if configuration := ingress.deps.Relay.Configuration(); configuration != nil && configuration.Limits.BodyBytes > 0 {
		limit = configuration.Limits.BodyBytes
	}
	if incoming.ContentLength != 0 {
		stop := limitReading(writer, ingress.deps.Clock, cmp.Or(traits.ClientTimeout, defaultBodyTime))
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

// limitReading lets reads from the client fail after the time, until the returned function is called.
func limitReading(writer http.ResponseWriter, clk clock.WithTicker, limit time.Duration) func() {
	controller := http.NewResponseController(writer)
	timer := clk.NewTimer(limit)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-timer.C():
			// A connection that takes no deadline is one of a test.
			_ = controller.SetReadDeadline(longAgo)
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
