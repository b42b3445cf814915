package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/route"
)

// destination is the search for an upstream that a stream migrates to.
type destination struct {
	// end ends the search.
	end context.CancelFunc
	// found receives the reservation of an upstream that answers, or nil, once.
	found chan *reservation
}

// seekDestination starts the search for another upstream unless it is in progress, and returns the reservation once
// it has one.
func (transaction *transaction) seekDestination(leg *leg) *reservation {
	watch := &transaction.leavingWatch
	if watch.destination == nil {
		watch.destination = transaction.startDestination(leg)
	}
	select {
	case reserved := <-watch.destination.found:
		watch.destination.end()
		watch.destination = nil
		return reserved
	default:
		return nil
	}
}

// startDestination starts the search for another upstream that holds the version of the model.
func (transaction *transaction) startDestination(leg *leg) *destination {
	ctx, cancel := context.WithCancel(leg.ctx)
	started := &destination{end: cancel, found: make(chan *reservation, 1)}
	req := transaction.req
	req.Deadline = transaction.dispatcher.clock.Now().Add(resumeTimeout)
	requirements := transaction.requirementsElsewhere(leg.name())
	dispatcher := transaction.dispatcher
	go func() { started.found <- dispatcher.reserveDestination(ctx, &req, requirements) }()
	return started
}

// reserveDestination returns the reservation of an upstream that answers a probe, or nil.
func (dispatcher *Dispatcher) reserveDestination(ctx context.Context, req *request.Request, requirements route.Requirements) *reservation {
	reserved, failure := dispatcher.admit(ctx, req, requirements, true)
	if failure != nil {
		return nil
	}
	name := reserved.candidate.Upstream
	if name == requirements.Exclude || dispatcher.probe(ctx, name) == "" {
		dispatcher.release(reserved, false)
		return nil
	}
	return reserved
}

// endMigration ends the search for another upstream and gives back what it has found.
func (transaction *transaction) endMigration() {
	sought := transaction.leavingWatch.destination
	if sought == nil {
		return
	}
	transaction.leavingWatch.destination = nil
	sought.end()
	if reserved := <-sought.found; reserved != nil {
		transaction.dispatcher.release(reserved, false)
	}
}
