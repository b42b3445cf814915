package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// attempt runs the request on the reserved upstream and releases the reservation.
func (transaction *transaction) attempt(ctx context.Context, reservation *reservation) result {
	unreserve, ok := transaction.reserve(ctx, reservation)
	if !ok {
		transaction.dispatcher.release(reservation, false)
		return result{failure: outcome.New(outcome.UpstreamRefused, "another suspect runs on the upstream"), notRun: true, busy: true}
	}
	if attemptResult, done := transaction.claim(ctx, reservation); done {
		unreserve()
		transaction.dispatcher.release(reservation, attemptResult.failure == nil)
		return attemptResult
	}
	ctx, cancel := transaction.attemptContext(ctx)
	defer cancel()
	start := transaction.startTimeout(ctx, reservation)
	defer start.stop()
	leg := transaction.newLeg(start.ctx, reservation)
	leg.onEnd(func(bool) { unreserve() })
	leg.onEnd(func(answered bool) { transaction.dispatcher.release(reservation, answered) })
	return transaction.runOn(start.ctx, leg, start.begun)
}

// runOn prepares the upstream of the leg and runs the request there.
func (transaction *transaction) runOn(ctx context.Context, leg *leg, begun func()) result {
	transaction.countAttempt()
	if transaction.attempts == 1 {
		transaction.dispatcher.budget.Deposit()
	}
	if err := transaction.prepare(ctx, leg); err != nil {
		return transaction.conclude(ctx, leg, err)
	}
	if transaction.req.API == request.ServiceCall {
		attemptResult := transaction.call(ctx, leg.reservation)
		leg.end(attemptResult.failure == nil)
		return attemptResult
	}
	return transaction.generate(ctx, leg, begun)
}

// countAttempt counts an attempt that is about to be made.
func (transaction *transaction) countAttempt() {
	transaction.attempts++
	if onAttempt := transaction.dispatcher.deps.OnAttempt; onAttempt != nil {
		onAttempt(&transaction.req, transaction.attempts)
	}
}

// prepare loads the adapter of the request and checks that the upstream of the leg still takes work.
func (transaction *transaction) prepare(ctx context.Context, leg *leg) error {
	release, err := transaction.loadAdapter(ctx, leg.reservation)
	if err != nil {
		return err
	}
	leg.onEnd(func(bool) { release() })
	if !transaction.dispatcher.stillServes(leg.reservation) {
		return &upstream.RefusedError{Reason: "leaving"}
	}
	transaction.dispatcher.assertServes(leg.reservation)
	return nil
}

// generate runs the generation and relays its output. A leg that is silent is followed by its successor, if its
// handover finds one.
func (transaction *transaction) generate(ctx context.Context, leg *leg, begun func()) result {
	err := transaction.open(ctx, leg)
	for {
		if err == nil {
			err = transaction.relayLeg(leg, begun)
		}
		unwanted := err == nil || errors.Is(err, errMigrate) || errors.Is(err, errSink) || ctx.Err() != nil
		successor := leg.handover.finish(unwanted)
		if successor == nil {
			return transaction.conclude(ctx, leg, err)
		}
		transaction.follow(leg, successor)
		leg, err = successor, nil
	}
}

// open sends the request to the upstream of the leg.
func (transaction *transaction) open(ctx context.Context, leg *leg) error {
	generator, ok := transaction.dispatcher.deps.Engines.Generator(leg.name())
	if !ok {
		return upstream.ErrNotSent
	}
	if err := transaction.importExported(ctx, generator); err != nil {
		return err
	}
	return leg.open(generator, transaction.generation(leg.reservation, 0))
}

// relayLeg relays the response of the leg, whose upstream has accepted the request.
func (transaction *transaction) relayLeg(leg *leg, begun func()) error {
	transaction.resumeDeadline, transaction.nextDelay, transaction.exported = time.Time{}, 0, nil
	transaction.dispatcher.recordLoad(leg.name(), leg.stream)
	defer transaction.dispatcher.recordLoad(leg.name(), leg.stream)
	defer transaction.endMigration()
	return transaction.relay(leg, begun)
}

// follow ends the leg that its successor follows. The successor takes over what both use.
func (transaction *transaction) follow(leg, successor *leg) {
	if successor.reservation == leg.reservation {
		successor.releases, leg.releases = leg.releases, nil
	}
	leg.end(false)
}

// conclude ends the last leg of an attempt and returns the result of the attempt.
func (transaction *transaction) conclude(ctx context.Context, leg *leg, err error) result {
	attemptResult := transaction.resultOf(ctx, leg.reservation, err)
	if attemptResult.failure != nil {
		transaction.logFailed(ctx, leg, attemptResult)
	}
	leg.end(err == nil)
	return attemptResult
}

// resultOf returns the result of an attempt that ended with the error on the reserved upstream.
func (transaction *transaction) resultOf(ctx context.Context, reservation *reservation, err error) result {
	switch {
	case err == nil:
		return transaction.recordSuccess(reservation)
	case errors.Is(err, errMigrate):
		return result{migrated: true}
	default:
		return transaction.classify(ctx, reservation, err)
	}
}

// recordLoad passes the load that the upstream reported with its response to the router.
func (dispatcher *Dispatcher) recordLoad(name string, stream upstream.Stream) {
	if load, known := stream.Load(); known {
		dispatcher.router.RecordLoad(name, load.Running, load.Waiting)
	}
}

// generation returns the upstream request of this attempt.
func (transaction *transaction) generation(reservation *reservation, resumes int) upstream.Generation {
	return upstream.Generation{
		Request:     transaction.req,
		Version:     reservation.candidate.Version,
		Attempt:     transaction.attempts + resumes,
		ResumeAfter: transaction.last,
	}
}

// recordSuccess records a complete response.
func (transaction *transaction) recordSuccess(reservation *reservation) result {
	transaction.dispatcher.router.RecordSuccess(reservation.candidate.Upstream)
	transaction.dispatcher.registry.Clear(transaction.req.Fingerprint)
	transaction.dispatcher.completed.Add(transaction.req.Fingerprint)
	return result{}
}

// closeStream closes the stream unless it is nil. The error is ignored, since the result is already known.
func closeStream(stream upstream.Stream) {
	if stream != nil {
		_ = stream.Close()
	}
}
