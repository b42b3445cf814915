package relay

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// The causes of a context that ended though the client still waits.
var (
	// errDeadline is the deadline of the request.
	errDeadline = errors.New("deadline of the request")
	// errStopped is the end of the daemon.
	errStopped = errors.New("end of the daemon")
)

const (
	// maxSends bounds how often a request is sent in all, also if it was proved not to have run.
	maxSends = 5
	// busyPause is the pause before a request is sent again that its replica could not take yet.
	busyPause = 25 * time.Millisecond
	// retryAfterBusy is the advice to the client of a request that replicas could not take.
	retryAfterBusy = 400 * time.Millisecond
)

// journey is one request on its way.
type journey struct {
	relay   *Relay
	request *exchange.Request
	// fingerprint is that of the request.
	fingerprint uint64
	route       *topology.Route
	service     topology.Service
	sink        Sink
	deadline    time.Time
	// sends is the number of sendings, and runs that of those that may have run.
	sends, runs int
	// tried lists the replicas that failed the request.
	tried []topology.Incarnation
	// last is the number of the last event that the client got.
	last uint64
	// ask is what the last sending asked of its replica.
	ask balance.Ask
	// summary is what is logged of the request.
	summary Summary
	// failed is the whole answer of a replica that failed, kept in case no other answers.
	failed *whole
}

// walk sends the request until it is answered or may not be sent again.
func (journey *journey) walk(ctx context.Context) *outcome.Error {
	relay := journey.relay
	if failure := journey.quarantined(relay.deps.Clock.Now()); failure != nil {
		return failure
	}
	relay.deps.Demand.Arrive(journey.key(), journey.request.Traits.PromptTokens, journey.route.LatencyTarget, journey.request.Arrived)
	relay.budget(journey.service.Name).Deposit()
	for {
		candidate, failure := journey.place(ctx)
		if failure != nil {
			return journey.conclude(ctx, failure)
		}
		result := journey.attempt(ctx, candidate)
		if result.done {
			return nil
		}
		event.AttemptFailed.Log("Request", journey.request.Traits.ID, "Fingerprint", journey.fingerprint, "Replica", candidate.ID, "Born", candidate.Born,
			"Sends", journey.sends, "Runs", journey.runs, "NotRun", result.notRun, "Cause", result.failure.Error())
		if !journey.again(ctx, candidate, result) {
			return journey.conclude(ctx, result.failure)
		}
	}
}

// key names the model that the request needs.
func (journey *journey) key() demand.Key {
	traits := &journey.request.Traits
	return demand.Key{Service: journey.service.Name, Model: traits.Model, Adapter: traits.Adapter}
}

// conclude returns the final failure: what is said of an earlier run goes before a refusal.
func (journey *journey) conclude(ctx context.Context, failure *outcome.Error) *outcome.Error {
	if journey.failed != nil && ctx.Err() == nil && !journey.sink.Begun() {
		journey.failed.deliver(journey.sink)
		return nil
	}
	if journey.runs > 0 && failure.Kind.Entry().Word == outcome.NotRun {
		return outcome.New(outcome.UpstreamLost, "%s", "an earlier sending may have run: "+failure.Error())
	}
	return failure
}

// again decides whether the request may be sent once more after the attempt, and waits where it should.
func (journey *journey) again(ctx context.Context, candidate balance.Candidate, result result) bool {
	if ctx.Err() != nil || journey.sends >= maxSends {
		return false
	}
	if journey.sink.Begun() && !journey.route.Resumable {
		return false
	}
	if !result.notRun && (!journey.route.Repeatable() || journey.runs >= journey.route.MaxAttempts) {
		return false
	}
	if !result.unsent && !journey.relay.budget(journey.service.Name).Withdraw() {
		return false
	}
	if result.absent {
		journey.relay.deps.Directory.MarkAbsent(demand.Place{Incarnation: candidate.Incarnation, Key: journey.key()})
	} else {
		journey.tried = append(journey.tried, candidate.Incarnation)
	}
	if result.notRun && !result.unsent {
		journey.await(ctx, busyPause, nil, nil)
	}
	return true
}

// left returns the time until the deadline.
func (journey *journey) left() time.Duration {
	return journey.deadline.Sub(journey.relay.deps.Clock.Now())
}

// ended returns the failure of a request whose context ended. ran states that a replica may have run it.
func ended(ctx context.Context, ran bool) *outcome.Error {
	if errors.Is(context.Cause(ctx), errStopped) && !ran {
		return outcome.New(outcome.Stopping, "the daemon is shutting down").WithRetryAfter(retryAfterStop)
	}
	if errors.Is(context.Cause(ctx), errStopped) {
		return outcome.New(outcome.DeadlineRunning, "the daemon ended while a replica had the request")
	}
	if !errors.Is(context.Cause(ctx), errDeadline) {
		return outcome.New(outcome.CallerGone, "the client closed the connection")
	}
	if ran {
		return outcome.New(outcome.DeadlineRunning, "the deadline passed while a replica had the request")
	}
	return outcome.New(outcome.DeadlineInQueue, "the deadline passed before the request was sent")
}
