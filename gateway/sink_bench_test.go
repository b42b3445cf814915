package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/meter"
)

// BenchmarkChunk sends one chunk of a stream over a loopback connection: write, flush and measurement.
func BenchmarkChunk(b *testing.B) {
	chunk := []byte("id: 100\ndata: " + string(bytes.Repeat([]byte("x"), 200)) + "\n\n")
	b.ReportAllocs()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		sink := &sink{
			writer: writer, flusher: writer.(http.Flusher), clock: clock.RealClock{}, meter: meter.New(),
			labels: meter.Labels{Tenant: "tenant", Class: "class"}, stream: true, arrived: time.Now(),
		}
		_ = sink.Begin(http.StatusOK, "text/event-stream")
		for b.Loop() {
			if err := sink.Chunk(chunk); err != nil {
				b.Error(err)
			}
		}
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Error(err)
	}
}

// BenchmarkObserve records the time between two chunks without sending them.
func BenchmarkObserve(b *testing.B) {
	sink := &sink{clock: clock.RealClock{}, meter: meter.New(), labels: meter.Labels{Tenant: "tenant", Class: "class"}}
	b.ReportAllocs()
	for b.Loop() {
		sink.observe()
	}
}
