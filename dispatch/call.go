package dispatch

import (
	"context"
	"errors"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// call sends a call to the reserved upstream of a plain service.
func (handler *handler) call(ctx context.Context, reservation *reservation) result {
	services := handler.dispatcher.deps.Services
	if services == nil {
		return result{failure: outcome.New(outcome.UnknownService, "no plain service is served"), notRun: true, final: true}
	}
	response, err := services.Call(ctx, reservation.candidate.Upstream, handler.req)
	if err == nil {
		err = handler.sendResponse(response.Status, response.ContentType, response.Body)
	}
	if err == nil {
		handler.dispatcher.router.Succeeded(reservation.candidate.Upstream)
		return result{}
	}
	return handler.classifyCall(ctx, reservation, err)
}

// classifyCall turns the error of a service call into a result. A plain service has no boot ID to compare, so
// that a failure never counts as a crash.
func (handler *handler) classifyCall(ctx context.Context, reservation *reservation, err error) result {
	if attemptResult, proved := handler.classifyUnsent(ctx, reservation, err); proved {
		return attemptResult
	}
	handler.mayHaveRun = true
	handler.ran++
	if attemptResult, ended := handler.classifyCancelled(ctx, err); ended {
		return attemptResult
	}
	handler.recordFailure(reservation)
	if errors.Is(err, upstream.ErrForeign) || errors.Is(err, upstream.ErrTruncated) {
		return result{failure: outcome.New(outcome.AnswerInvalid, "the answer of the service is not valid").WithCause(err)}
	}
	return result{failure: outcome.New(outcome.UpstreamLost, "the service failed while the call ran").WithCause(err)}
}
