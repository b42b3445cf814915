package gateway

import (
	"net/http"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/meter"
)

// sink sends the answer to one caller and measures it.
type sink struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	clock   clock.PassiveClock
	meter   *meter.Meter
	labels  meter.Labels
	id      string
	stream  bool
	arrived time.Time
	last    time.Time
	begun   bool
}

// Begin sends the head of the answer.
func (sink *sink) Begin(status int, contentType string) error {
	sink.begun = true
	header := sink.writer.Header()
	header.Set("Content-Type", contentType)
	header.Set(headerRequestID, sink.id)
	if sink.stream {
		header.Set("Cache-Control", "no-cache")
	}
	sink.writer.WriteHeader(status)
	sink.flush()
	return nil
}

// Chunk sends a part of the answer at once.
func (sink *sink) Chunk(part []byte) error {
	if _, err := sink.writer.Write(part); err != nil {
		return err
	}
	sink.flush()
	sink.observe()
	return nil
}

// Begun reports whether the head was sent.
func (sink *sink) Begun() bool {
	return sink.begun
}

func (sink *sink) flush() {
	if sink.stream && sink.flusher != nil {
		sink.flusher.Flush()
	}
}

func (sink *sink) observe() {
	now := sink.clock.Now()
	if sink.last.IsZero() {
		sink.meter.Observe(meter.FirstToken, sink.labels, now.Sub(sink.arrived))
	} else {
		sink.meter.Observe(meter.BetweenTokens, sink.labels, now.Sub(sink.last))
	}
	sink.last = now
}
