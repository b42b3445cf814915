package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/upstream"
)

// seekElsewhere sends the request to another upstream within the limits of attempts and the retry budget.
func (handover *handover) seekElsewhere(ctx context.Context, seeker *transaction) *leg {
	if ctx.Err() != nil || !handover.mayRunElsewhere(seeker) {
		return nil
	}
	if !seeker.dispatcher.budget.Withdraw() {
		return nil
	}
	if seeker.isSuspect() {
		seeker.wait(ctx, suspectPause)
	}
	successor, failure := handover.reserveElsewhere(ctx, seeker)
	if failure != nil {
		seeker.dispatcher.budget.Return()
		return nil
	}
	if err := handover.prepareAndSend(ctx, seeker, successor); err != nil {
		handover.recordRefusal(ctx, seeker, successor, err)
		successor.end(false)
		return nil
	}
	seeker.ran++
	return successor
}

// mayRunElsewhere reports whether the request may run on another upstream beside the leg.
func (handover *handover) mayRunElsewhere(seeker *transaction) bool {
	if handover.cannotResume || !seeker.mayRunTwice() {
		return false
	}
	return seeker.ran+1 < maxRun && seeker.attempts < maxAttempts
}

// reserveElsewhere returns a leg on another upstream that has a slot for the request.
func (handover *handover) reserveElsewhere(ctx context.Context, seeker *transaction) (*leg, *outcome.Error) {
	req := seeker.req
	if seeker.last > 0 {
		req.Deadline = seeker.dispatcher.clock.Now().Add(resumeTimeout)
	}
	reservation, failure := seeker.dispatcher.admit(ctx, &req, seeker.requirementsElsewhere(handover.leg.name()), true)
	if failure != nil {
		return nil, failure
	}
	successor := handover.newSuccessor(reservation)
	successor.onEnd(func(answered bool) { seeker.dispatcher.release(reservation, answered) })
	unreserve, ok := seeker.reserve(ctx, reservation)
	if !ok || successor.name() == handover.leg.name() {
		successor.end(false)
		return nil, outcome.New(outcome.UpstreamRefused, "no other upstream may run the request")
	}
	successor.onEnd(func(bool) { unreserve() })
	return successor, nil
}

// requirementsElsewhere returns the routing requirements for another upstream than the named one, which goes on with
// the request.
func (transaction *transaction) requirementsElsewhere(name string) route.Requirements {
	return transaction.withOrigin(route.Requirements{
		Affinity: transaction.req.Fingerprint,
		Adapter:  transaction.req.Target.Adapter,
		Exclude:  name,
		Suspect:  transaction.isSuspect(),
	})
}

// prepareAndSend prepares the upstream of the successor and sends it the request.
func (handover *handover) prepareAndSend(ctx context.Context, seeker *transaction, successor *leg) error {
	generator, ok := seeker.dispatcher.deps.Engines.Generator(successor.name())
	if !ok {
		return upstream.ErrNotSent
	}
	seeker.countAttempt()
	if err := seeker.prepare(ctx, successor); err != nil {
		return err
	}
	return handover.send(ctx, seeker, successor, generator)
}

// recordRefusal records why the upstream of the successor did not accept the request.
func (handover *handover) recordRefusal(ctx context.Context, seeker *transaction, successor *leg, err error) {
	handover.cannotResume = handover.cannotResume || cannotResume(err)
	failed := seeker.classify(ctx, successor.reservation, err)
	if !failed.notRun {
		seeker.uncertainFailure = failed.failure
	}
	seeker.logFailed(ctx, successor, failed)
}
