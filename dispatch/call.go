package dispatch

import (
	"context"
	"errors"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// call runs a call of a plain service on the upstream of the place.
func (journey *journey) call(ctx context.Context, place *place) result {
	services := journey.dispatcher.deps.Services
	if services == nil {
		return result{failure: outcome.New(outcome.UnknownService, "no plain service is served"), notRun: true, final: true}
	}
	answer, err := services.Call(ctx, place.candidate.Upstream, journey.req)
	if err == nil {
		err = journey.whole(answer.Status, answer.ContentType, answer.Body)
	}
	if err == nil {
		journey.dispatcher.router.Succeeded(place.candidate.Upstream)
		return result{}
	}
	return journey.judgeCall(ctx, place, err)
}

// judgeCall judges the error of a call. A plain service has no boot to compare, so that a failure is
// never taken for a crash.
func (journey *journey) judgeCall(ctx context.Context, place *place, err error) result {
	if ending, proved := journey.unsent(ctx, place, err); proved {
		return ending
	}
	journey.mayHaveRun = true
	journey.ran++
	if ending, ended := journey.stopped(ctx, err); ended {
		return ending
	}
	journey.failed(place)
	if errors.Is(err, upstream.ErrMismatched) || errors.Is(err, upstream.ErrTruncated) {
		return result{failure: outcome.New(outcome.AnswerInvalid, "the answer of the service is not valid").WithCause(err)}
	}
	return result{failure: outcome.New(outcome.UpstreamLost, "the service failed while the call ran").WithCause(err)}
}
