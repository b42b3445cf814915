package relay

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/reach"
)

// pathPollInterval is the interval at which a request that may run once looks whether a path was proved.
const pathPollInterval = 25 * time.Millisecond

// lendInstead is the failure of a choice of a replica that ends since the request is to go through another daemon.
var lendInstead = outcome.New(outcome.UpstreamRefused, "the request goes through another daemon")

// pathToWaitFor returns the state of the paths to the candidates that keeps a request that may run once from being sent: reach.Suspected
// if it may wait for one, or else reach.Absent or reach.Dead if all that is sent would be lost. It returns reach.Sound if the request
// may be sent. The candidates are those of reachable, so that either all paths are sound or none is. Another daemon's request waits for
// none that is lost, whether it may run once or again: a further daemon may reach the replicas.
func (transaction *transaction) pathToWaitFor(candidates []balance.Candidate) reach.State {
	lender := transaction.relay.deps.Lender
	if lender == nil || !lender.AnyDoubted() {
		return reach.Sound
	}
	if transaction.lent && len(candidates) > 0 && len(transaction.without(candidates, reach.State.Lost)) == 0 {
		return reach.Dead
	}
	if transaction.route.Repeatable() {
		return reach.Sound
	}
	found := reach.Sound
	for _, candidate := range candidates {
		switch state := lender.Path(candidate.Incarnation, candidate.Address); state {
		case reach.Suspected:
			return state
		case reach.Absent, reach.Dead:
			found = max(found, state)
		}
	}
	return found
}

// waitForPath lets a request that may run once wait while paths to its replicas are suspected: on one that yields nothing it would be
// lost. It returns why there is nothing to wait for, or nil after it has waited for a moment.
func (selection *selection) waitForPath(ctx context.Context, state reach.State, changes changes) *outcome.Error {
	if selection.lends() {
		return lendInstead
	}
	if state != reach.Suspected {
		return outcome.New(outcome.UpstreamRefused, "connections to the replicas yield nothing").WithRetryAfter(retryAfterBusy)
	}
	selection.waitForChange(ctx, pathPollInterval, changes)
	return nil
}
