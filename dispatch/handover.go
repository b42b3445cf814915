package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
)

// acceptTimeout is how long a request whose leg has broken off waits for an upstream that was sent the request and
// has not accepted it yet.
const acceptTimeout = time.Second

var (
	// errReplaced is the cancellation cause of a silent leg that has a successor.
	errReplaced = errors.New("another generation goes on with the request")
	// errOvertaken is the cancellation cause of a successor that is not needed.
	errOvertaken = errors.New("the earlier generation went on or the request ended")
	// errUnaccepted is the cancellation cause of a successor whose upstream is silent too.
	errUnaccepted = errors.New("the upstream has not accepted the request")
	// errConnectionLost is the cancellation cause of a leg that is silent although its engine lives and would send
	// heartbeats.
	errConnectionLost = errors.New("the engine lives and the connection yields nothing")
	// errRestarted is the cancellation cause of a leg whose engine has another boot.
	errRestarted = errors.New("the engine has restarted")
)

// handover seeks a successor for a leg that is silent, and ends the leg only once an upstream has accepted the
// request again. Until then the leg goes on.
type handover struct {
	leg *leg
	// ctx is the context of the attempt, from which those of successors are derived.
	ctx context.Context
	// transaction is the request. The handover uses its constant fields only.
	transaction *transaction
	// base is the progress of the request when the leg began.
	base progress

	mutex sync.Mutex
	// progress is base with what the searches added.
	progress progress
	// last is the index of the last piece that was sent to the caller.
	last int
	// pending states that the leg is a successor that is not accepted yet.
	pending bool
	// closed states that no further search begins.
	closed bool
	// endSearch ends the search in progress, and searched is closed when it has ended. Both are nil without one.
	endSearch context.CancelCauseFunc
	searched  chan struct{}
	// sent states that the search in progress has sent the request to an upstream that may still accept it.
	sent bool
	// successor is the leg that goes on with the request, or nil.
	successor *leg

	// The fields below belong to the search in progress.

	// unresponsive states that the upstream was recorded as possibly crashed.
	unresponsive bool
	// cannotResume states that another upstream refused to go on with a stream that it did not begin.
	cannotResume bool
	// aliveSince is when the upstream of the leg first answered the probes of the search that it answers since, or
	// zero.
	aliveSince time.Time
	// resumes is the number of further connections to the upstream of the leg.
	resumes int
}

// init prepares the handover of a leg of the attempt with the context.
func (handover *handover) init(ctx context.Context, transaction *transaction, leg *leg) {
	handover.leg, handover.ctx, handover.transaction = leg, ctx, transaction
	handover.base, handover.progress, handover.last = transaction.progress, transaction.progress, transaction.last
}

// advance records the index of the last piece that was sent to the caller.
func (handover *handover) advance(last int) {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.last = last
}

// onSilence seeks a successor until silence ends, which means that the leg goes on. A leg that is not accepted yet is
// ended instead, so that the search for it goes on.
func (handover *handover) onSilence(silence context.Context) {
	if handover.isPending() {
		handover.leg.cancel(errUnaccepted)
		return
	}
	handover.seek(silence)
}

// seek seeks a successor until silence ends.
func (handover *handover) seek(silence context.Context) {
	ctx, cancel := context.WithCancelCause(silence)
	defer cancel(nil)
	seeker := handover.beginSearch(cancel)
	if seeker == nil {
		return
	}
	defer handover.endedSearch()
	successor := handover.searchUntil(ctx, seeker)
	accepted := handover.settle(ctx, successor, seeker)
	switch {
	case accepted:
		event.AttemptReplaced.Log("Request", seeker.req.ID, "Replica", handover.leg.name(),
			"Successor", successor.name(), "LastEvent", seeker.last)
		handover.leg.cancel(errReplaced)
	case successor != nil:
		successor.end(false)
	}
}

// beginSearch returns a copy of the request that seeks successors until cancel is called, or nil if none is sought.
func (handover *handover) beginSearch(cancel context.CancelCauseFunc) *transaction {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	if handover.closed || handover.successor != nil {
		return nil
	}
	handover.endSearch, handover.searched = cancel, make(chan struct{})
	handover.aliveSince = time.Time{}
	return &transaction{
		dispatcher: handover.transaction.dispatcher,
		req:        handover.transaction.req,
		progress:   handover.progress,
		last:       handover.last,
		version:    handover.leg.reservation.candidate.Version,
		release:    handover.leg.reservation.candidate.Release,
	}
}

// settle keeps what the seeker has come to. It reports whether the successor goes on with the request, which is
// false if the search was ended in the meantime.
func (handover *handover) settle(ctx context.Context, successor *leg, seeker *transaction) bool {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.progress = seeker.progress
	accepted := successor != nil && ctx.Err() == nil && successor.ctx.Err() == nil
	if accepted {
		handover.successor = successor
		successor.handover.accept()
	}
	return accepted
}

// isPending reports whether the leg is a successor that is not accepted yet.
func (handover *handover) isPending() bool {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	return handover.pending
}

// accept records that the leg of a successor is accepted.
func (handover *handover) accept() {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.pending = false
}

// endedSearch lets finish go on.
func (handover *handover) endedSearch() {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	close(handover.searched)
	handover.endSearch, handover.searched = nil, nil
}

// markSent records whether the search in progress has sent the request to an upstream that may still accept it.
func (handover *handover) markSent(sent bool) {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.sent = sent
}

// finish ends the handover of a leg that has ended, and returns the successor that goes on with the request, or
// nil. An upstream that was sent the request may still accept it. unwanted states that no successor is needed.
func (handover *handover) finish(unwanted bool) *leg {
	if searched := handover.close(unwanted); searched != nil {
		handover.awaitSearch(searched)
	}
	handover.transaction.adopt(handover.base, handover.progress)
	successor := handover.successor
	if successor == nil {
		return nil
	}
	if unwanted {
		successor.end(false)
		return nil
	}
	handover.transaction.recordSilence()
	return successor
}

// close lets no further search begin and ends the search in progress unless it may still be accepted. It returns
// a channel that is closed when that one has ended, or nil.
func (handover *handover) close(unwanted bool) <-chan struct{} {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.closed = true
	if unwanted || !handover.sent {
		handover.overtake()
	}
	return handover.searched
}

// awaitSearch waits for the end of the search, which it ends after acceptTimeout.
func (handover *handover) awaitSearch(searched <-chan struct{}) {
	timer := handover.transaction.dispatcher.clock.NewTimer(acceptTimeout)
	defer timer.Stop()
	select {
	case <-searched:
		return
	case <-timer.C():
	}
	handover.mutex.Lock()
	handover.overtake()
	handover.mutex.Unlock()
	<-searched
}

// overtake ends the search in progress, if there is one. The mutex is held.
func (handover *handover) overtake() {
	if handover.endSearch != nil {
		handover.endSearch(errOvertaken)
	}
}

// recordSilence records that the upstream of a leg that was replaced may have run part of the request.
func (transaction *transaction) recordSilence() {
	transaction.mayHaveRun = true
	transaction.uncertainFailure = outcome.New(outcome.UpstreamLost, "the connection to the upstream went silent").WithCause(errReplaced)
}

// adopt adds what was made of the request beside this transaction, which brought its progress from base to reached.
func (transaction *transaction) adopt(base, reached progress) {
	transaction.attempts += reached.attempts - base.attempts
	transaction.ran += reached.ran - base.ran
	if reached.mayHaveRun && !base.mayHaveRun {
		transaction.mayHaveRun = true
		transaction.uncertainFailure = reached.uncertainFailure
	}
}
