package dispatch

import (
	"context"
	"errors"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// call sends a call to the reserved upstream of a plain service.
func (transaction *transaction) call(ctx context.Context, reservation *reservation) result {
	services := transaction.dispatcher.deps.Services
	if services == nil {
		return result{failure: outcome.New(outcome.UnknownService, "no plain service is served"), notRun: true, final: true}
	}
	response, err := services.Call(ctx, reservation.candidate.Upstream, transaction.req)
	if err == nil {
		err = transaction.sendResponse(response.Status, response.ContentType, response.Body)
	}
	if err == nil {
		transaction.dispatcher.router.RecordSuccess(reservation.candidate.Upstream)
		return result{}
	}
	return transaction.classifyCall(ctx, reservation, err)
}

// classifyCall turns the error of a service call into a result. A plain service has no boot ID to compare, so
// that a failure never counts as a crash.
func (transaction *transaction) classifyCall(ctx context.Context, reservation *reservation, err error) result {
	if attemptResult, proved := transaction.classifyUnsent(ctx, reservation, err); proved {
		return attemptResult
	}
	transaction.mayHaveRun = true
	transaction.ran++
	if attemptResult, ended := transaction.classifyCancelled(ctx, err); ended {
		return attemptResult
	}
	transaction.recordFailure(reservation)
	if errors.Is(err, upstream.ErrMismatched) || errors.Is(err, upstream.ErrTruncated) {
		return result{failure: outcome.New(outcome.AnswerInvalid, "the answer of the service is not valid").WithCause(err)}
	}
	return result{failure: outcome.New(outcome.UpstreamLost, "the service failed while the call ran").WithCause(err)}
}
