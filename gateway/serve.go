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

func (gateway *Gateway) generate(form request.API) http.HandlerFunc {
	return func(writer http.ResponseWriter, req *http.Request) {
		id := newID()
		made, err := gateway.admitPrompt(writer, req, form, id)
		gateway.run(writer, req, made, err)
	}
}

func (gateway *Gateway) call(writer http.ResponseWriter, req *http.Request) {
	made, err := gateway.admitCall(writer, req, newID())
	gateway.run(writer, req, made, err)
}

// run answers an admitted request, or refuses it if admission failed.
func (gateway *Gateway) run(writer http.ResponseWriter, req *http.Request, made admitted, err error) {
	sink := gateway.sink(writer, made)
	if err == nil {
		err = gateway.within(req.Context(), made, sink)
	}
	if err == nil {
		gateway.answered(made)
		return
	}
	gateway.failed(writer, sink, made, outcome.From(err))
}

// within runs the request until the end of its time or until the caller goes.
func (gateway *Gateway) within(ctx context.Context, made admitted, sink request.Sink) error {
	ctx, cancel := context.WithTimeout(ctx, made.end.Sub(made.Arrived))
	defer cancel()
	return gateway.runner.Do(ctx, made.Request, sink)
}

func (gateway *Gateway) sink(writer http.ResponseWriter, made admitted) *sink {
	flusher, _ := writer.(http.Flusher)
	return &sink{
		writer:  writer,
		flusher: flusher,
		clock:   gateway.clock,
		meter:   gateway.meter,
		labels:  meter.Labels{Tenant: made.Tenant, Class: made.Class},
		id:      made.ID,
		stream:  made.Stream,
		arrived: made.Arrived,
	}
}

func (gateway *Gateway) answered(made admitted) {
	labels := meter.Labels{Tenant: made.Tenant, Class: made.Class}
	gateway.meter.Count(meter.Answered, labels, 1)
	gateway.meter.Observe(meter.TotalTime, labels, gateway.clock.Since(made.Arrived))
	event.RequestAnswered.Log("Request", made.ID, "Tenant", made.Tenant, "Class", made.Class)
}

// failed tells the caller of the failure. A stream that has begun is told inside the stream by the
// runner, and the connection is then closed without the end marker.
func (gateway *Gateway) failed(writer http.ResponseWriter, sink *sink, made admitted, failure *outcome.Error) {
	gateway.countRefusal(made.Tenant, made.Class, failure)
	logRefusal(made.ID, made.Tenant, made.Class, failure)
	if !sink.Begun() {
		refuse(writer, made.ID, failure)
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

func (gateway *Gateway) models(writer http.ResponseWriter, req *http.Request) {
	if _, err := gateway.callers.tenant(req); err != nil {
		refuse(writer, newID(), outcome.From(err))
		return
	}
	type entry struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	entries := []entry{}
	for _, target := range gateway.names.Targets() {
		entries = append(entries, entry{target, "model"})
	}
	httpx.OkJsonCtx(req.Context(), writer, struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{"list", entries})
}
