package relay

import (
	"context"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/exchange"
)

// leg is one attempt that is under way. Use transaction.open or openLent, and end it by receive or discard. One through another
// daemon has only what its response needs.
type leg struct {
	// transaction is that for which the attempt was opened; for a successor it is the copy that sought it.
	transaction *transaction
	candidate   balance.Candidate
	// lent is set if the request is sent to another daemon. The candidate then states only the release that is asked for, and there
	// is no record.
	lent bool
	// lender is that daemon, release that of its replica, and runs the number of replicas that may have run the request, once it has
	// responded.
	lender, release string
	runs            int
	// sent is what is sent to the replica.
	sent exchange.Attempt
	// record and handover are nil for an attempt through another daemon; handover also if no successor may be sought.
	record   *attemptRecord
	handover *handover
	// ctx ends with the attempt, and cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// answered is closed once reply or err are set, if another goroutine sends the request; else it is nil.
	answered chan struct{}
	reply    *exchange.Reply
	err      error
}

// open records the start of an attempt at the candidate, which ends with the context. Nothing is sent before send or start.
func (transaction *transaction) open(ctx context.Context, candidate balance.Candidate) *leg {
	ctx, cancel := context.WithCancelCause(ctx)
	return transaction.openUntil(ctx, cancel, candidate)
}

// openUntil is open for a context that is cancelled by the function.
func (transaction *transaction) openUntil(ctx context.Context, cancel context.CancelCauseFunc, candidate balance.Candidate) *leg {
	transaction.logContinuation(candidate)
	transaction.sends++
	transaction.runs++
	return &leg{
		transaction: transaction, candidate: candidate, sent: transaction.upstreamAttempt(candidate),
		record: transaction.startRecord(candidate), ctx: ctx, cancel: cancel,
	}
}

// openLent is openUntil for an attempt through another daemon.
func (transaction *transaction) openLent(ctx context.Context, cancel context.CancelCauseFunc) *leg {
	transaction.sends++
	return &leg{transaction: transaction, candidate: balance.Candidate{Release: transaction.release}, lent: true, ctx: ctx, cancel: cancel}
}

// source names what sends the response: the replica, or the other daemon.
func (leg *leg) source() string {
	if leg.lent {
		return leg.lender
	}
	return leg.candidate.ID
}

// send sends the request and waits for the head of the response.
func (leg *leg) send() {
	if leg.lent {
		leg.lend()
		return
	}
	leg.reply, leg.err = leg.transaction.relay.deps.Upstream.Send(leg.ctx, leg.transaction.request, leg.sent)
}

// lend is send for another daemon.
func (leg *leg) lend() {
	sought := leg.transaction
	reply, err := sought.relay.deps.Lender.Lend(leg.ctx, sought.request, sought.remaining(), sought.allowance())
	if err != nil {
		leg.err = err
		return
	}
	leg.reply, leg.lender, leg.release, leg.runs = reply.Reply, reply.Daemon, reply.Release, max(reply.Runs, 1)
}

// start sends the request without waiting for the response.
func (leg *leg) start() {
	leg.answered = make(chan struct{})
	go func() {
		defer close(leg.answered)
		leg.send()
	}()
}

// responded reports whether the head of the response to an attempt that start has sent has arrived.
func (leg *leg) responded() bool {
	select {
	case <-leg.answered:
		return leg.err == nil
	default:
		return false
	}
}

// await waits for the head of the response, after it has sent the request unless start did.
func (leg *leg) await() {
	if leg.answered == nil {
		leg.send()
		return
	}
	<-leg.answered
}

// end releases what the attempt holds.
func (leg *leg) end() {
	if leg.reply != nil {
		// The rest of the body is of no use, and so is the error.
		_ = leg.reply.Body.Close()
	}
	leg.record.finish()
	leg.cancel(nil)
}

// discard ends an attempt whose response is not wanted any more.
func (leg *leg) discard() {
	leg.cancel(errOvertaken)
	leg.await()
	if leg.lent {
		leg.transaction.endLent(leg)
	} else if leg.err != nil {
		leg.transaction.failAttempt(leg.ctx, leg.candidate, leg.err)
	} else {
		leg.transaction.cancelAt(leg.candidate)
	}
	leg.end()
}

// upstreamAttempt returns what is sent for an attempt at the candidate, and records that the request is sent to it.
func (transaction *transaction) upstreamAttempt(candidate balance.Candidate) exchange.Attempt {
	return exchange.Attempt{
		Replica:     candidate.Incarnation,
		Address:     candidate.Address,
		Budget:      transaction.remaining(),
		Priority:    transaction.priority(),
		HasPriority: transaction.service.Engine != nil,
		AtMostOnce:  !transaction.route.Repeatable(),
		Counted:     transaction.permit.Counted,
		ResumeAfter: transaction.reached.last,
		SentBefore:  transaction.markSent(candidate.Incarnation),
	}
}
