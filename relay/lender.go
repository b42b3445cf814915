package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/topology"
)

// maxUnreached is the number of replicas that a request fails to reach before it is passed on through another daemon.
const maxUnreached = 2

// ErrSilent means that the daemon that served a request did not respond, and that a further attempt is reserved.
var ErrSilent = errors.New("the daemon that serves the request does not respond")

// Lender passes requests on through other daemons, which reach the replicas. It is safe for concurrent use.
type Lender interface {
	// CutOff reports whether this daemon reaches no replica.
	CutOff() bool
	// Path returns the state of the path to the replica, and AnyDoubted whether the state of any is not reach.Sound; AnyDoubted is
	// cheap.
	Path(replica topology.Incarnation, address string) reach.State
	AnyDoubted() bool
	// Lend makes one attempt through another daemon, which has the budget for it, and returns the response once its head was
	// read. It fails with exchange.ErrNotSent if no daemon took the request, exchange.ErrLost or a *Refusal.
	Lend(ctx context.Context, request *exchange.Request, budget time.Duration, allowance Allowance) (*LentReply, error)
}

// Allowance is what a daemon may do for a request of another daemon's client.
type Allowance struct {
	// Attempts is the largest number of replicas that may run the request; at least one.
	Attempts int
	// Service and Release name where a stream goes on; both are empty for a new one.
	Service, Release string
	// ResumeAfter is the ID of the last event that the client has received within this answer, if it has one.
	ResumeAfter exchange.EventID
	// Repeat is called if the daemon that serves the request falls silent. If it returns true, a further attempt is reserved, and the
	// exchange must fail with ErrSilent. It may be called again if it returns false; nil means that the request must not be sent again.
	Repeat func() bool
	// Configuration is the version by which the request was routed. No older one may serve it.
	Configuration uint64
}

// LentReply is the response to an attempt through another daemon.
type LentReply struct {
	*exchange.Reply
	// Daemon is the name of that daemon.
	Daemon string
	// Release is that of the replica.
	Release string
	// Runs is the number of replicas that may have run the request.
	Runs int
}

// Refusal is the error of an attempt that another daemon did not answer.
type Refusal struct {
	// Failure is the reason.
	Failure *outcome.Error
	// Runs is the number of replicas that may have run the request.
	Runs int
}

// Error returns the reason.
func (refusal *Refusal) Error() string { return refusal.Failure.Error() }

// AsRefusal returns the refusal that the error is, or nil.
func AsRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// NotRun reports whether the request has certainly not run.
func (refusal *Refusal) NotRun() bool {
	return refusal.Runs == 0 && refusal.Failure.Kind.Entry().Execution == outcome.NotRun
}

// ServeLent answers the request of another daemon's client through the sink, or returns why it did not. It passes the request to
// no further daemon.
func (relay *Relay) ServeLent(ctx context.Context, request *exchange.Request, allowance Allowance, sink Sink) (Summary, *outcome.Error) {
	configuration, route, failure := relay.match(request)
	if failure != nil {
		return Summary{Configuration: versionOf(configuration)}, failure
	}
	if configuration.Version < allowance.Configuration {
		return Summary{}, outcome.New(outcome.NotReady, "the configuration %d is not known yet", allowance.Configuration)
	}
	if failure := checkAdmitted(configuration, route, request); failure != nil {
		return Summary{}, failure
	}
	service, known := configuration.Services[allowance.Service]
	if !known {
		service = configuration.Services[pickTarget(route.Targets, streamID(request))]
	}
	return relay.serve(ctx, &transaction{
		request: request, configuration: configuration, route: route, service: service, sink: sink, lent: true,
		maxRuns: min(route.MaxAttempts, allowance.Attempts), release: allowance.Release, reached: position{last: allowance.ResumeAfter},
	})
}

// lends reports whether the next attempt goes through another daemon: this one reaches no replica, or none that has what the
// request needs.
func (transaction *transaction) lends() bool {
	lender := transaction.relay.deps.Lender
	if lender == nil || transaction.lent || transaction.lendFailed {
		return false
	}
	if transaction.unreached >= maxUnreached || lender.CutOff() {
		return true
	}
	if !lender.AnyDoubted() {
		return false
	}
	// After a reset, another path that is not sound is not tried.
	excluded := reach.State.Lost
	if transaction.resets > 0 {
		excluded = isDoubted
	}
	candidates := transaction.ofRelease(transaction.holders())
	return len(candidates) > 0 && len(transaction.without(candidates, excluded)) == 0
}

// isPathLost reports whether this daemon does not reach the replica of the candidate.
func (transaction *transaction) isPathLost(candidate balance.Candidate) bool {
	lender := transaction.relay.deps.Lender
	return lender.Path(candidate.Incarnation, candidate.Address).Lost()
}

// reachable returns the candidates with sound paths, or else those whose paths are not lost, or all if there are none either.
func (transaction *transaction) reachable(candidates []balance.Candidate) []balance.Candidate {
	lender := transaction.relay.deps.Lender
	if lender == nil || !lender.AnyDoubted() {
		return candidates
	}
	if sound := transaction.without(candidates, isDoubted); len(sound) > 0 {
		return sound
	}
	if reached := transaction.without(candidates, reach.State.Lost); len(reached) > 0 {
		return reached
	}
	return candidates
}

// without returns the candidates without those whose paths are in such a state.
func (transaction *transaction) without(candidates []balance.Candidate, excluded func(reach.State) bool) []balance.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(candidate balance.Candidate) bool {
		return excluded(transaction.relay.deps.Lender.Path(candidate.Incarnation, candidate.Address))
	})
}

// isDoubted reports whether the path may not lead to the replica.
func isDoubted(state reach.State) bool {
	return state != reach.Sound
}

// lend makes one attempt through another daemon. It returns false if no daemon took the request.
func (transaction *transaction) lend(ctx context.Context) (result, bool) {
	lent := transaction.openLent(context.WithCancelCause(ctx))
	received := transaction.receive(lent)
	return received, !transaction.lendFailed
}

// allowance returns what another daemon may do for the request.
func (transaction *transaction) allowance() Allowance {
	allowance := Allowance{
		Attempts:      max(transaction.maxRuns-transaction.runs, 1),
		Release:       transaction.release,
		ResumeAfter:   transaction.reached.last,
		Configuration: transaction.configuration.Version,
	}
	if transaction.release != "" {
		allowance.Service = transaction.service.Name
	}
	if transaction.route.Repeatable() && transaction.maxRuns-transaction.runs > 1 {
		allowance.Repeat = transaction.relay.budget(transaction.service.Name).Withdraw
	}
	return allowance
}

// endLent counts the runs of an attempt through another daemon that has responded or failed, and returns why it failed.
func (transaction *transaction) endLent(lent *leg) result {
	if lent.err == nil {
		transaction.runs += lent.runs
		return result{}
	}
	if errors.Is(lent.err, exchange.ErrNotSent) {
		transaction.lendFailed = true
		transaction.sends--
		failure := outcome.New(outcome.UpstreamRefused, "%s", lent.err.Error()).WithRetryAfter(retryAfterBusy)
		return result{failure: failure, notRun: true, unsent: true}
	}
	return transaction.failLent(lent)
}

// failLent counts the runs of an attempt that another daemon took and did not answer, and returns why it failed.
func (transaction *transaction) failLent(lent *leg) result {
	if refusal := AsRefusal(lent.err); refusal != nil {
		transaction.runs += refusal.Runs
		return result{failure: refusal.Failure, notRun: refusal.NotRun()}
	}
	transaction.runs++
	if lent.ctx.Err() != nil {
		return result{failure: contextFailure(lent.ctx, true)}
	}
	return result{failure: outcome.New(outcome.UpstreamLost, "%s", lent.err.Error()), reserved: errors.Is(lent.err, ErrSilent)}
}

// senderNamer is a Sink that passes on which release responds. NameSender is called before Head.
type senderNamer interface {
	NameSender(release string, runs int)
}

// nameSender tells the sink of another daemon which release responds.
func (transaction *transaction) nameSender() {
	if sink, ok := transaction.sink.(senderNamer); ok {
		sink.NameSender(transaction.release, transaction.runs)
	}
}
