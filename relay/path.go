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

// worstPath returns the worst state of the paths to the candidates, of which reachable returns only equally good ones. Requests that
// may run again go on any path, and it returns reach.Sound for them.
func (transaction *transaction) worstPath(candidates []balance.Candidate) reach.State {
	lender := transaction.relay.deps.Lender
	if lender == nil || transaction.route.Repeatable() || !lender.AnyDoubted() {
		return reach.Sound
	}
	worst := reach.Sound
	for _, candidate := range candidates {
		worst = max(worst, lender.Path(candidate.Incarnation, candidate.Address))
	}
	return worst
}

// waitForPath lets a request that may run once wait while all paths to its replicas are suspected: on one that yields nothing it would
// be lost. It returns why there is nothing to wait for, or nil after it has waited for a moment.
func (selection *selection) waitForPath(ctx context.Context, worst reach.State, changes changes) *outcome.Error {
	if selection.lends() {
		return lendInstead
	}
	if worst == reach.Dead {
		return outcome.New(outcome.UpstreamRefused, "connections to the replicas yield nothing").WithRetryAfter(retryAfterBusy)
	}
	selection.waitForChange(ctx, pathPollInterval, changes)
	return nil
}
