package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/internal/requestbody"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/topology"
)

// Relay serves requests.
type Relay interface {
	// Configuration returns the configuration in force, or nil before the first.
	Configuration() *topology.Configuration
	// Admit decides by the head of a request whether it may be served, or returns why not.
	Admit(ctx context.Context, request *exchange.Request) (relay.Admission, *outcome.Error)
	// Serve answers the request through the sink, or returns why it did not.
	Serve(ctx context.Context, request *exchange.Request, sink relay.Sink) (relay.Summary, *outcome.Error)
}

// Deps holds the dependencies of an Ingress. All fields without another note must be set.
type Deps struct {
	// Relay serves requests.
	Relay Relay
	// Decode returns the headers to pass on, and the metadata of the request that they contain.
	Decode func(sent http.Header) (http.Header, exchange.Metadata)
	// RemoveKey removes the client's key from headers that are passed on.
	RemoveKey func(header http.Header)
	// Held bounds the bytes held of bodies; nil means no bound.
	Held *bytebudget.Budget
	// BodyProgress is the time in which a body must grow; zero means none.
	BodyProgress time.Duration
	// Meter counts requests.
	Meter *meter.Meter
	// Clock provides the time and timers.
	Clock clock.WithTicker
}

// Ingress is the HTTP handler for client requests. Use New.
type Ingress struct {
	deps     Deps
	inFlight atomic.Int64
	// held holds the requests that the relay has.
	held heldRequests
}

// New returns an ingress.
func New(deps Deps) *Ingress {
	return &Ingress{deps: deps}
}

// InFlight returns the number of requests that are not answered yet.
func (ingress *Ingress) InFlight() int64 {
	return ingress.inFlight.Load()
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler to abort a response that has begun, or if the
// client has disconnected.
func (ingress *Ingress) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	ingress.inFlight.Add(1)
	defer ingress.inFlight.Add(-1)
	received, failure := ingress.read(writer, incoming)
	defer received.close()
	request := received.request
	sink := &sink{clock: ingress.deps.Clock, readAt: ingress.deps.Clock.Now(), writer: writer, controller: http.NewResponseController(writer)}
	var summary relay.Summary
	if failure == nil {
		defer ingress.held.add(request)()
		summary, failure = ingress.deps.Relay.Serve(incoming.Context(), request, sink)
	}
	if summary.Runs == 0 {
		received.giveBack()
	}
	ingress.record(request, sink, summary, failure)
	if failure == nil {
		return
	}
	if aborts(sink, failure) {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(writer, failure)
}

// aborts reports whether the connection of a request that failed is closed, since its response has begun or nobody waits for it.
func aborts(sink *sink, failure *outcome.Error) bool {
	return sink.Begun() || failure.Kind == outcome.CallerGone
}

// received is a request with what must be settled when it ends.
type received struct {
	request *exchange.Request
	// body is the body, to be closed; nil if it was not read.
	body *requestbody.Body
	// refund gives back what the account was charged; nil if it was not charged.
	refund func()
}

// close releases the body.
func (received received) close() {
	received.body.Close()
}

// giveBack gives back what the account was charged, since the request has not run.
func (received received) giveBack() {
	if received.refund != nil {
		received.refund()
	}
}

// read reads the whole request. The body is read only if the head is admitted.
func (ingress *Ingress) read(writer http.ResponseWriter, incoming *http.Request) (received, *outcome.Error) {
	request := &exchange.Request{
		Method:  incoming.Method,
		Target:  incoming.URL.RequestURI(),
		Path:    incoming.URL.Path,
		Host:    incoming.Host,
		Arrived: ingress.deps.Clock.Now(),
	}
	request.Header, request.Metadata = ingress.deps.Decode(incoming.Header)
	refund, failure := ingress.admit(incoming.Context(), request)
	if failure != nil {
		ingress.drain(writer, incoming)
		return received{request: request, refund: refund}, failure
	}
	body, failure := ingress.readBody(writer, incoming, &request.Metadata)
	if failure != nil {
		return received{request: request, refund: refund}, failure
	}
	request.Body = body.Content
	return received{request: request, body: body, refund: refund}, nil
}

// admit decides by the head of the request whether it may be served. The key is kept no longer than that, unless it means nothing here
// and is passed on as any other header. It returns how to give back what the account was charged, or nil.
func (ingress *Ingress) admit(ctx context.Context, request *exchange.Request) (func(), *outcome.Error) {
	admission, failure := ingress.deps.Relay.Admit(ctx, request)
	request.Metadata.Key = ""
	request.Account, request.KeyChecked = admission.Account, admission.KeyChecked
	if admission.KeyChecked {
		ingress.deps.RemoveKey(request.Header)
	}
	return admission.Refund, failure
}

// record logs and counts how the request ended.
func (ingress *Ingress) record(request *exchange.Request, sink *sink, summary relay.Summary, failure *outcome.Error) {
	took := ingress.deps.Clock.Since(request.Arrived)
	ingress.recordTakeUp(request, summary, failure)
	labels := meter.Labels{Class: summary.Route}
	fields := []any{
		"Request", request.Metadata.ID, "Path", request.Path, "Route", summary.Route, "Configuration", summary.Configuration,
		"Account", request.AccountName(), "Model", request.Metadata.Model, "Adapter", request.Metadata.Adapter, "PromptTokens", request.Metadata.PromptTokens,
		"Replica", summary.Replica.ID, "InFlight", summary.InFlight, "Sends", summary.Sends, "Runs", summary.Runs, "EndedBy", summary.EndedBy, "Lender", summary.Lender, "Waited", summary.Waited,
		"Took", took, "First", sink.firstPart, "LongestGap", sink.longestGap, "Silent", sink.silence(), "Bytes", sink.bytes,
	}
	if failure == nil {
		ingress.deps.Meter.Count(meter.Answered, labels, 1)
		ingress.deps.Meter.Observe(meter.TotalTime, labels, took)
		ingress.deps.Meter.Observe(meter.FirstToken, labels, sink.firstPart)
		ingress.deps.Meter.Observe(meter.BetweenTokens, labels, sink.longestGap)
		event.RequestAnswered.Log(append(fields, "Status", sink.status)...)
		return
	}
	labels.Kind = failure.Kind.String()
	ingress.deps.Meter.Count(meter.Refused, labels, 1)
	if aborts(sink, failure) {
		ingress.deps.Meter.Count(meter.Unanswered, labels, 1)
	}
	event.Refusal(failure.Kind).Log(append(fields, "Fingerprint", summary.Fingerprint, "Begun", sink.Begun(), "RetryAfter", failure.RetryAfter, "Cause", failure.Error())...)
}

// writeRefusal writes the response to a request that the relay did not answer. The status is 503 if the request has
// not run, unless the client caused the failure; otherwise it is that of the error kind.
func writeRefusal(writer http.ResponseWriter, failure *outcome.Error) {
	entry := failure.Kind.Entry()
	status := entry.Status
	if entry.Execution == outcome.NotRun && (status >= http.StatusInternalServerError || failure.Kind == outcome.Quarantined) {
		status = http.StatusServiceUnavailable
	}
	mayReturn := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if mayReturn && failure.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(failure.RetryAfter.Seconds(), 'f', 2, 64))
	}
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	// The error means that the client has disconnected; nothing is left to do.
	_, _ = io.WriteString(writer, failure.Kind.String()+": "+failure.Message+"\n")
}

// sink writes a response to the client and measures it.
type sink struct {
	clock      clock.PassiveClock
	writer     http.ResponseWriter
	controller *http.ResponseController
	status     int
	// streaming states that each part is flushed at once.
	streaming bool
	bytes     int64
	// readAt is when the request was read, and lastPart when the last part was written.
	readAt, lastPart time.Time
	// firstPart is the time to the first part, and longestGap the longest time between two parts.
	firstPart, longestGap time.Duration
}

// Head begins the response. A length of -1 means that the length is unknown.
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

// Write passes on a part of the body, and flushes it if the length of the response is unknown.
func (sink *sink) Write(part []byte) error {
	sink.observe(sink.clock.Now())
	n, err := sink.writer.Write(part)
	sink.bytes += int64(n)
	if err != nil || !sink.streaming {
		return err
	}
	return sink.controller.Flush()
}

// silence returns the time since the last part, or zero if there was none.
func (sink *sink) silence() time.Duration {
	if sink.lastPart.IsZero() {
		return 0
	}
	return sink.clock.Since(sink.lastPart)
}

// observe records the time at which a part is written.
func (sink *sink) observe(now time.Time) {
	if sink.lastPart.IsZero() {
		sink.firstPart = now.Sub(sink.readAt)
	} else {
		sink.longestGap = max(sink.longestGap, now.Sub(sink.lastPart))
	}
	sink.lastPart = now
}

// Begun reports whether Head was called.
func (sink *sink) Begun() bool {
	return sink.status != 0
}
