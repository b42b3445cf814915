package relay

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/admission"
	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/reach"
)

const (
	// generationReserve is the fraction of the deadline that is kept for the generation after a wait for the model.
	generationReserve = 0.1
	// noForecastPart is the fraction of the deadline for which a request waits for a model without a load forecast.
	noForecastPart = 0.5
	// minFirstEventTimeout, timeoutTargets and timeoutGaps estimate when a client abandons a stream without an event:
	// after the longest of this time, that multiple of the latency target and that multiple of the gap target.
	minFirstEventTimeout = 2 * time.Second
	timeoutTargets       = 4
	timeoutGaps          = 8
	// firstEventReserve is the part of that time that is kept for reading the prompt and for the network.
	firstEventReserve = 120 * time.Millisecond
	// plainWait is how long a request to a plain service waits for a first replica to become known.
	plainWait = 100 * time.Millisecond
	// retryAfterCold is the Retry-After value if it is unknown when the model will be loaded.
	retryAfterCold = 2 * time.Second
)

// selectReplica returns the replica for the next attempt. It waits for capacity, for tokens of replicas with limits, or
// for a model or adapter that no replica has loaded, as long as a response within the deadline is possible.
func (transaction *transaction) selectReplica(ctx context.Context) (balance.Candidate, *outcome.Error) {
	selection := transaction.newSelection()
	defer selection.finish()
	for {
		chosen, ok, failure := selection.step(ctx)
		if ok || failure != nil {
			return chosen, failure
		}
	}
}

// selection is the state of the choice of one replica.
type selection struct {
	*transaction
	// begun is when the choice began.
	begun time.Time
	// waiting is set once the request is counted as one that waits for its model.
	waiting bool
	// counted is set once the request is counted as one that replicas with limits could serve.
	counted bool
	// entry is that of the request in the admission queue of its model; nil if it does not wait there.
	entry *admission.Entry
	// joined is when it began to wait there, and waited how long it did before.
	joined time.Time
	waited time.Duration
}

func (transaction *transaction) newSelection() *selection {
	transaction.criteria = balance.Criteria{
		Zone:              transaction.relay.settings.Zone,
		DaemonIndex:       transaction.relay.daemonIndex(),
		Exclude:           transaction.tried,
		Silent:            transaction.silent,
		Priority:          transaction.priority(),
		FirstEventTarget:  transaction.route.LatencyTarget,
		AdmissionQuantile: float64(xxhash.Sum64String(transaction.request.Metadata.ID)) / math.MaxUint64,
	}
	if transaction.service.Engine != nil {
		transaction.criteria.Tokens = transaction.request.Metadata.PromptTokens
	}
	transaction.setPaceCriteria()
	return &selection{transaction: transaction, begun: transaction.relay.deps.Clock.Now()}
}

// finish ends the waits for capacity and for the model, if there were any.
func (selection *selection) finish() {
	if selection.entry != nil {
		selection.leaveLine(selection.relay.deps.Clock.Now())
	}
	if selection.waiting {
		selection.summary.Waited += selection.relay.deps.Clock.Since(selection.begun) - selection.waited
		selection.relay.deps.Demand.RemoveWaiting(selection.key(), selection.request.Arrived)
	}
}

// startWait counts the request as one that waits for its model.
func (selection *selection) startWait() {
	if !selection.waiting {
		selection.waiting = true
		selection.startModelWait()
	}
}

// step returns the replica, or why there will be none. If it returns neither, it has waited for a change.
func (selection *selection) step(ctx context.Context) (balance.Candidate, bool, *outcome.Error) {
	changes := selection.changes()
	now := selection.relay.deps.Clock.Now()
	if ctx.Err() != nil {
		return balance.Candidate{}, false, contextFailure(ctx, selection.runs > 0)
	}
	if failure := selection.quarantineFailure(now); failure != nil {
		return balance.Candidate{}, false, failure
	}
	candidates := selection.candidates()
	if len(candidates) == 0 {
		if failure := selection.releaseFailure(); failure != nil {
			return balance.Candidate{}, false, failure
		}
	}
	if state := selection.pathToWaitFor(candidates); state != reach.Sound {
		selection.leaveLine(now)
		return balance.Candidate{}, false, selection.waitForPath(ctx, state, changes)
	}
	available := selection.availability(candidates, !selection.counted, now)
	selection.counted = true
	selection.criteria.MaxLoad = selection.maxLoad(now)
	selection.criteria.Leaving = selection.leavingReleases(candidates, now)
	// A trial may end its replica with all that runs there.
	selection.criteria.Quietest = selection.trial != 0
	if selection.mayTry(now) {
		if chosen, ok := selection.choose(selection.offered(available.accepting, now), now); ok {
			selection.admitted(now)
			return chosen, true, nil
		}
	}
	if len(available.accepting) > 0 {
		return selection.waitForCapacity(ctx, available.accepting, now, changes)
	}
	selection.leaveLine(now)
	switch {
	case len(available.limited) > 0:
		return selection.chooseLimited(ctx, available.limited, now, changes)
	case !available.resumeAt.IsZero():
		return balance.Candidate{}, false, selection.waitForBackoff(ctx, available.resumeAt, now, changes)
	default:
		return balance.Candidate{}, false, selection.waitForModel(ctx, now, changes)
	}
}

// chooseLimited waits until one of the candidates has a token and returns it, or returns why none has one in time.
func (selection *selection) chooseLimited(ctx context.Context, limited []balance.Candidate, now time.Time, changes changes) (balance.Candidate, bool, *outcome.Error) {
	if selection.service.Engine != nil {
		selection.startWait()
	}
	permitted, ok, failure := selection.waitForToken(ctx, limited, now, changes)
	if !ok {
		return balance.Candidate{}, false, failure
	}
	chosen, ok := selection.choosePermitted(permitted)
	return chosen, ok, nil
}

// waitForBackoff waits until the backoff of a replica ends, or returns why the request must not wait for that.
func (selection *selection) waitForBackoff(ctx context.Context, resumeAt, now time.Time, changes changes) *outcome.Error {
	if failure := selection.backoffFailure(now, resumeAt); failure != nil {
		return failure
	}
	if until := selection.resumeDeadline(); selection.goesOn() && until.Before(resumeAt) {
		resumeAt = until
	}
	selection.waitForChange(ctx, resumeAt.Sub(now), changes)
	return nil
}

// waitForModel waits until a replica may have loaded the model, or returns why the request must not wait any longer.
func (selection *selection) waitForModel(ctx context.Context, now time.Time, changes changes) *outcome.Error {
	until, failure := selection.waitLimit(now)
	if failure != nil {
		return failure
	}
	selection.startWait()
	selection.waitForChange(ctx, min(until.Sub(now), loadPollInterval), changes)
	return nil
}

// choose returns the best of the candidates, with a permit if it has a limit.
func (transaction *transaction) choose(candidates []balance.Candidate, now time.Time) (balance.Candidate, bool) {
	chosen, ok := transaction.relay.deps.Balancer.Choose(candidates, transaction.criteria, now)
	if !ok {
		return balance.Candidate{}, false
	}
	permit, ok := transaction.relay.deps.Limiter.Take(chosen.Incarnation, now)
	if !ok {
		transaction.relay.deps.Balancer.Withdraw(chosen, transaction.criteria)
		return balance.Candidate{}, false
	}
	transaction.permit = permit
	transaction.recordChoice(chosen)
	return chosen, true
}

// choosePermitted returns the candidate for which the transaction holds a permit, or gives the permit back if the
// candidate is overloaded.
func (transaction *transaction) choosePermitted(candidate balance.Candidate) (balance.Candidate, bool) {
	now := transaction.relay.deps.Clock.Now()
	chosen, ok := transaction.relay.deps.Balancer.Choose([]balance.Candidate{candidate}, transaction.criteria, now)
	if !ok {
		transaction.relay.deps.Limiter.Return(transaction.permit, now)
		return balance.Candidate{}, false
	}
	transaction.recordChoice(chosen)
	return chosen, true
}

// recordChoice keeps what the log needs of the choice.
func (transaction *transaction) recordChoice(chosen balance.Candidate) {
	transaction.summary.Replica = chosen.Incarnation
	transaction.summary.InFlight = chosen.InFlight
}

// candidates returns the replicas that can serve the request now. A stream that has begun is served by its release only, and
// replicas that this daemon failed to reach lately come last.
func (transaction *transaction) candidates() []balance.Candidate {
	return transaction.reachable(transaction.ofRelease(transaction.holders()))
}

// holders returns the replicas that have what the request needs.
func (transaction *transaction) holders() []balance.Candidate {
	if transaction.service.Engine == nil {
		return transaction.relay.deps.Directory.Replicas(transaction.service.Name)
	}
	return transaction.relay.deps.Directory.Holders(transaction.key())
}

// startModelWait reports that the request waits for its model.
func (transaction *transaction) startModelWait() {
	transaction.relay.deps.Demand.AddWaiting(transaction.key(), transaction.request.Arrived)
	event.RequestWaits.Log("Request", transaction.request.Metadata.ID, "Service", transaction.service.Name,
		"Model", transaction.request.Metadata.Model, "Adapter", transaction.request.Metadata.Adapter)
	if transaction.relay.deps.OnModelWait != nil {
		transaction.relay.deps.OnModelWait()
	}
}
