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
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// The cancellation causes of a context other than the client closing its connection.
var (
	// errDeadline means that the deadline of the request passed.
	errDeadline = errors.New("deadline of the request")
	// errStopped means that the daemon shuts down.
	errStopped = errors.New("the daemon is shutting down")
)

const (
	// maxSends bounds the attempts of a request, including those that were proved not to have run. Begun streams may make more.
	maxSends = 5
	// retryAfterBusy is the Retry-After value of a request that no replica could accept.
	retryAfterBusy = 400 * time.Millisecond
)

// transaction is the state of one client request until its final response.
type transaction struct {
	relay         *Relay
	request       *exchange.Request
	configuration *topology.Configuration
	// causes lists what the request has that may crash replicas.
	causes   quarantine.Causes
	route    *topology.Route
	service  topology.Service
	sink     Sink
	deadline time.Time
	// maxRuns is the largest number of replicas that may run the request.
	maxRuns int
	// lent is set if another daemon received the request from its client.
	lent bool
	// lending is set while the response of another daemon is passed on, and lendFailed once no daemon took the request.
	lending, lendFailed bool
	progress
	// reached is how far the client has received the stream within this response.
	reached position
	// brokenAt is when the replica of a begun stream broke it off, before another one sent an event; zero if none did.
	brokenAt time.Time
	// release is that of the replica that began the stream; empty if that is unknown or the stream has not begun.
	release string
	// silent lists the replicas that are silent while a successor is sought; the balancer chooses them last.
	silent []topology.Incarnation
	// permit is that of the last attempt for the limit of its replica.
	permit ratelimit.Permit
	// criteria is what the balancer is given for the next attempt, or was given for the current one.
	criteria balance.Criteria
	// summary is what is logged about the request.
	summary Summary
	// failedResponse is the complete response of a replica that failed. It is delivered if no other replica responds.
	failedResponse *completeResponse
}

// progress is what the attempts of a request have come to.
type progress struct {
	// unreached counts the attempts that could not be sent.
	unreached int
	// resets counts the attempts whose new connections ended before any byte of a response.
	resets int
	// sends counts the attempts, and runs those of them that may have run the request.
	sends, runs int
	// tried lists the replicas whose attempts failed; the balancer chooses them last.
	tried []topology.Incarnation
	// sentTo lists the replicas to which the request was sent.
	sentTo []topology.Incarnation
	// trial is the refused part of the prompt that the request was admitted to try, or zero.
	trial uint64
}

// adopt adds what a copy of the transaction has come to, from base to after, while the transaction itself chose no replica.
func (progress *progress) adopt(base, after progress) {
	progress.unreached += after.unreached - base.unreached
	progress.resets += after.resets - base.resets
	progress.sends += after.sends - base.sends
	progress.runs += after.runs - base.runs
	progress.tried, progress.sentTo, progress.trial = after.tried, after.sentTo, after.trial
}

// run makes attempts until the request is answered or must not be retried.
func (transaction *transaction) run(ctx context.Context) *outcome.Error {
	relay := transaction.relay
	defer transaction.endTrial()
	defer transaction.dropFailed()
	if failure := transaction.quarantineFailure(relay.deps.Clock.Now()); failure != nil {
		return failure
	}
	if failure := transaction.findOrigin(ctx); failure != nil {
		return failure
	}
	if !transaction.lent {
		relay.deps.Demand.AddArrival(transaction.key(), transaction.request.Metadata.PromptTokens, transaction.route.LatencyTarget, transaction.request.Arrived)
		relay.budget(transaction.service.Name).Deposit()
	}
	for {
		if transaction.lends() {
			result, taken := transaction.lend(ctx)
			if taken && result.done {
				return nil
			}
			if taken && (transaction.refusedForGood(result) || !transaction.prepareRetry(ctx, balance.Candidate{}, result)) {
				return transaction.finalFailure(ctx, transaction.lastFailure(ctx, result))
			}
			continue
		}
		candidate, failure := transaction.selectReplica(ctx)
		if failure == lendInstead {
			continue
		}
		if failure != nil {
			return transaction.finalFailure(ctx, failure)
		}
		candidate, result := transaction.attempt(ctx, candidate)
		if result.done {
			return nil
		}
		transaction.logFailure(candidate, result)
		if !transaction.prepareRetry(ctx, candidate, result) {
			if result.notRun && !result.unsent && !result.misdirected {
				transaction.addRefused()
			}
			return transaction.finalFailure(ctx, transaction.lastFailure(ctx, result))
		}
	}
}

// refusedForGood reports whether the refusal of another daemon ends the request. A begun stream is asked for again, unless it is
// refused for its crashes.
func (transaction *transaction) refusedForGood(result result) bool {
	return result.notRun && (!transaction.goesOn() || result.failure.Kind == outcome.Quarantined)
}

// lastFailure returns why the request is not sent again after the attempt: for a begun stream that waited for it, the end of that
// wait, or else the failure of the attempt.
func (transaction *transaction) lastFailure(ctx context.Context, result result) *outcome.Error {
	if transaction.begunResumable() && ctx.Err() != nil {
		return contextFailure(ctx, true)
	}
	return result.failure
}

// logFailure logs that the attempt at the candidate failed.
func (transaction *transaction) logFailure(candidate balance.Candidate, result result) {
	transaction.summary.EndedBy = result.endedBy
	event.AttemptFailed.Log("Request", transaction.request.Metadata.ID, "Fingerprint", transaction.causes.Request,
		"Replica", candidate.ID, "Born", candidate.Started, "Release", candidate.Release, "LastEvent", transaction.reached.last,
		"Sends", transaction.sends, "Runs", transaction.runs, "NotRun", result.notRun, "EndedBy", result.endedBy, "Cause", result.failure.Error())
}

// key returns the model, and the adapter if any, that the request needs.
func (transaction *transaction) key() demand.Key {
	metadata := &transaction.request.Metadata
	return demand.Key{Service: transaction.service.Name, Model: metadata.Model, Adapter: metadata.Adapter}
}

// finalFailure returns the failure to report, or nil if it delivered an earlier response with an error status
// instead. If an earlier attempt may have run the request, the result never claims that it has not run.
func (transaction *transaction) finalFailure(ctx context.Context, failure *outcome.Error) *outcome.Error {
	transaction.countRefused(failure)
	if transaction.failedResponse != nil && ctx.Err() == nil && !transaction.sink.Begun() {
		transaction.nameSender()
		transaction.failedResponse.deliver(transaction.sink)
		return nil
	}
	if transaction.runs > 0 && failure.Kind.Entry().Execution == outcome.NotRun {
		return outcome.New(outcome.UpstreamLost, "%s", "an earlier sending may have run: "+failure.Error())
	}
	return failure
}

// countRefused counts the request as refused for want of capacity if that is why it failed.
func (transaction *transaction) countRefused(failure *outcome.Error) {
	switch failure.Kind {
	case outcome.QueueFull, outcome.DeadlineUnmeetable, outcome.DeadlineInQueue:
		transaction.addRefused()
	}
}

// addRefused counts the request as refused for want of capacity. A lent request is counted by the daemon that lent it.
func (transaction *transaction) addRefused() {
	if !transaction.lent && transaction.service.Engine != nil {
		transaction.relay.deps.Demand.AddRefused(transaction.key(), transaction.relay.deps.Clock.Now())
	}
}

// remaining returns the time until the deadline.
func (transaction *transaction) remaining() time.Duration {
	return transaction.deadline.Sub(transaction.relay.deps.Clock.Now())
}

// contextFailure returns the failure of a request whose context ended. ran states whether a replica may have run it.
func contextFailure(ctx context.Context, ran bool) *outcome.Error {
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
