package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

// Relay serves requests.
type Relay interface {
	// Configuration returns the configuration in force, or nil.
	Configuration() *topology.Configuration
	// Serve answers the request through the sink, or returns why it did not.
	Serve(ctx context.Context, request *exchange.Request, sink relay.Sink) (relay.Summary, *outcome.Error)
}

// Deps is what an ingress works with. All fields must be set.
type Deps struct {
	// Relay serves requests.
	Relay Relay
	// Decode returns the headers to pass on and what they tell of the request.
	Decode func(sent http.Header) (http.Header, exchange.Traits)
	// Meter counts requests.
	Meter *meter.Meter
	// Clock tells the time.
	Clock clock.WithTicker
}

// Ingress is the handler of clients' requests. Use New.
type Ingress struct {
	deps Deps
	// stopping states that answers ask clients to open new connections.
	stopping atomic.Bool
	running  atomic.Int64
}

// New returns an ingress.
func New(deps Deps) *Ingress {
	return &Ingress{deps: deps}
}

// Stop makes answers ask clients to open new connections.
func (ingress *Ingress) Stop() {
	ingress.stopping.Store(true)
}

// Running returns the number of requests that are not answered yet.
func (ingress *Ingress) Running() int64 {
	return ingress.running.Load()
}

// ServeHTTP answers one request. It panics with http.ErrAbortHandler to break off an answer that began,
// or one for a client that is gone.
func (ingress *Ingress) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	ingress.running.Add(1)
	defer ingress.running.Add(-1)
	if ingress.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	request, failure := ingress.read(writer, incoming)
	sink := &sink{clock: ingress.deps.Clock, begun: ingress.deps.Clock.Now(), writer: writer, controller: http.NewResponseController(writer)}
	var summary relay.Summary
	if failure == nil {
		summary, failure = ingress.deps.Relay.Serve(incoming.Context(), request, sink)
	}
	ingress.record(request, sink, summary, failure)
	if failure == nil {
		return
	}
	if sink.Begun() || failure.Kind == outcome.CallerGone {
		panic(http.ErrAbortHandler)
	}
	refuse(writer, failure)
}

// read reads the whole request.
func (ingress *Ingress) read(writer http.ResponseWriter, incoming *http.Request) (*exchange.Request, *outcome.Error) {
	request := &exchange.Request{
		Method:  incoming.Method,
		Target:  incoming.URL.RequestURI(),
		Path:    incoming.URL.Path,
		Host:    incoming.Host,
		Arrived: ingress.deps.Clock.Now(),
	}
	request.Header, request.Traits = ingress.deps.Decode(incoming.Header)
	body, failure := ingress.readBody(writer, incoming, &request.Traits)
	request.Body = body
	return request, failure
}

// record logs and counts how the request ended.
func (ingress *Ingress) record(request *exchange.Request, sink *sink, summary relay.Summary, failure *outcome.Error) {
	took := ingress.deps.Clock.Since(request.Arrived)
	labels := meter.Labels{Class: summary.Route}
	fields := []any{
		"Request", request.Traits.ID, "Path", request.Path, "Route", summary.Route, "Configuration", summary.Configuration,
		"Model", request.Traits.Model, "Adapter", request.Traits.Adapter, "PromptTokens", request.Traits.PromptTokens,
		"Replica", summary.Replica.ID, "InFlight", summary.InFlight, "Sends", summary.Sends, "Waited", summary.Waited,
		"Took", took, "First", sink.first, "LongestGap", sink.gap, "Bytes", sink.bytes,
	}
	if failure == nil {
		ingress.deps.Meter.Count(meter.Answered, labels, 1)
		ingress.deps.Meter.Observe(meter.TotalTime, labels, took)
		ingress.deps.Meter.Observe(meter.FirstToken, labels, sink.first)
		ingress.deps.Meter.Observe(meter.BetweenTokens, labels, sink.gap)
		event.RequestAnswered.Log(append(fields, "Status", sink.status)...)
		return
	}
	labels.Kind = failure.Kind.String()
	ingress.deps.Meter.Count(meter.Refused, labels, 1)
	event.Refusal(failure.Kind).Log(append(fields, "Fingerprint", summary.Fingerprint, "Begun", sink.Begun(), "RetryAfter", failure.RetryAfter, "Cause", failure.Error())...)
}

// refuse answers a request that got no answer. What has not run is refused with 503, unless the client erred.
func refuse(writer http.ResponseWriter, failure *outcome.Error) {
	entry := failure.Kind.Entry()
	status := entry.Status
	if entry.Execution == outcome.NotRun && (status >= http.StatusInternalServerError || failure.Kind == outcome.Quarantined) {
		status = http.StatusServiceUnavailable
	}
	if status == http.StatusServiceUnavailable && failure.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 2, 64))
	}
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	// A client that is gone needs no answer.
	_, _ = io.WriteString(writer, failure.Kind.String()+": "+failure.Message+"\n")
}

// sink passes an answer to the client.
type sink struct {
	clock      clock.PassiveClock
	writer     http.ResponseWriter
	controller *http.ResponseController
	status     int
	// streaming states that each part is passed on at once.
	streaming bool
	bytes     int64
	// begun is when the request was read, and last when the last part was passed on.
	begun, last time.Time
	// first is the time to the first part, and gap the longest time between two parts.
	first, gap time.Duration
}

// Head begins the answer.
func (sink *sink) Head(status int, header http.Header, length int64) {
	into := sink.writer.Header()
	for name, values := range header {
		into[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		into["Content-Type"] = nil
	}
	if length >= 0 {
		into.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	sink.streaming = length < 0
	sink.status = status
	sink.writer.WriteHeader(status)
}

// Write passes on a part of the body.
func (sink *sink) Write(part []byte) error {
	sink.observe(sink.clock.Now())
	n, err := sink.writer.Write(part)
	sink.bytes += int64(n)
	if err != nil || !sink.streaming {
		return err
	}
	return sink.controller.Flush()
}

// observe notes that a part is passed on.
func (sink *sink) observe(now time.Time) {
	if sink.last.IsZero() {
		sink.first = now.Sub(sink.begun)
	} else {
		sink.gap = max(sink.gap, now.Sub(sink.last))
	}
	sink.last = now
}

// Begun reports whether the answer began.
func (sink *sink) Begun() bool {
	return sink.status != 0
}
