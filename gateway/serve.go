package gateway

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

// generate returns the handler of chat or text completions.
func (gateway *Gateway) generate(api request.API) http.HandlerFunc {
	return func(writer http.ResponseWriter, req *http.Request) {
		id := newID()
		admitted, err := gateway.admitPrompt(writer, req, api, id)
		gateway.serve(writer, req, admitted, err)
	}
}

// call handles a call of a plain service.
func (gateway *Gateway) call(writer http.ResponseWriter, req *http.Request) {
	admitted, err := gateway.admitCall(writer, req, newID())
	gateway.serve(writer, req, admitted, err)
}

// serve runs an admitted request, or refuses the request if err is the error of its admission.
func (gateway *Gateway) serve(writer http.ResponseWriter, req *http.Request, admitted admission, err error) {
	sink := gateway.sink(writer, admitted)
	if err == nil {
		err = gateway.runWithTimeout(req.Context(), admitted, sink)
	}
	if err == nil {
		gateway.recordAnswered(admitted)
		return
	}
	gateway.handleFailure(writer, sink, admitted, outcome.From(err))
}

// runWithTimeout runs the request. It cancels it at the end of its total time or when the caller disconnects.
func (gateway *Gateway) runWithTimeout(ctx context.Context, admitted admission, sink request.Sink) error {
	ctx, cancel := context.WithTimeout(ctx, admitted.end.Sub(admitted.Arrived))
	defer cancel()
	return gateway.runner.Do(ctx, admitted.Request, sink)
}

// sink returns the sink that writes and measures the response to an admitted request.
func (gateway *Gateway) sink(writer http.ResponseWriter, admitted admission) *sink {
	flusher, _ := writer.(http.Flusher)
	return &sink{
		writer:  writer,
		flusher: flusher,
		clock:   gateway.clock,
		meter:   gateway.meter,
		labels:  meter.Labels{Tenant: admitted.Tenant, Class: admitted.Class},
		id:      admitted.ID,
		stream:  admitted.Stream,
		arrived: admitted.Arrived,
	}
}

// recordAnswered counts, measures and logs a request with a complete response.
func (gateway *Gateway) recordAnswered(admitted admission) {
	labels := meter.Labels{Tenant: admitted.Tenant, Class: admitted.Class}
	gateway.meter.Count(meter.Answered, labels, 1)
	gateway.meter.Observe(meter.TotalTime, labels, gateway.clock.Since(admitted.Arrived))
	event.RequestAnswered.Log("Request", admitted.ID, "Tenant", admitted.Tenant, "Class", admitted.Class)
}

// handleFailure records the failure and responds with it if the response has not started. In a started stream the
// runner reports the failure within the stream, and the connection is then closed without the end marker. Any
// other started response is aborted by closing the connection, so that it does not look complete.
func (gateway *Gateway) handleFailure(writer http.ResponseWriter, sink *sink, admitted admission, failure *outcome.Error) {
	gateway.countRefusal(admitted.Tenant, admitted.Class, failure)
	logRefusal(admitted.ID, admitted.Tenant, admitted.Class, failure)
	if !sink.Begun() {
		refuse(writer, admitted.ID, failure)
		return
	}
	if !sink.stream {
		panic(http.ErrAbortHandler)
	}
}

func (gateway *Gateway) countRefusal(tenant, class string, failure *outcome.Error) {
	labels := meter.Labels{Tenant: tenant, Class: class, Kind: failure.Kind.String()}
	gateway.meter.Count(meter.Refused, labels, 1)
}

// models responds with the list of models and adapters in force.
func (gateway *Gateway) models(writer http.ResponseWriter, req *http.Request) {
	if _, err := gateway.authenticator.tenant(req); err != nil {
		refuse(writer, newID(), outcome.From(err))
		return
	}
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	entries := []entry{}
	for _, target := range gateway.resolver.Targets() {
		entries = append(entries, entry{target, "model"})
	}
	writer.Header().Set(headerRequestID, newID())
	httpx.OkJsonCtx(req.Context(), writer, struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{"list", entries})
}
