package gateway

import (
	"net/http"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/meter"
)

// sink writes the response to one request and measures its latencies.
type sink struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	clock   clock.PassiveClock
	meter   *meter.Meter
	labels  meter.Labels
	id      string
	stream  bool
	arrived time.Time
	// lastChunk is the time of the last chunk, or zero before the first.
	lastChunk time.Time
	begun     bool
}

// Begin sends status and headers.
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

// Chunk writes a part of the response. In a stream it is flushed.
func (sink *sink) Chunk(part []byte) error {
	if _, err := sink.writer.Write(part); err != nil {
		return err
	}
	sink.flush()
	sink.observe()
	return nil
}

// Begun reports whether Begin was called.
func (sink *sink) Begun() bool {
	return sink.begun
}

func (sink *sink) flush() {
	if sink.stream && sink.flusher != nil {
		sink.flusher.Flush()
	}
}

// observe records the time to the first chunk or between two chunks.
func (sink *sink) observe() {
	now := sink.clock.Now()
	if sink.lastChunk.IsZero() {
		sink.meter.Observe(meter.FirstToken, sink.labels, now.Sub(sink.arrived))
	} else {
		sink.meter.Observe(meter.BetweenTokens, sink.labels, now.Sub(sink.lastChunk))
	}
	sink.lastChunk = now
}
