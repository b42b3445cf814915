package relay

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// Quotas keeps the requests of accounts to their quotas.
type Quotas interface {
	// Charge charges an account with a quota, and may wait for some tens of milliseconds until that is possible. It returns how to give
	// the charge back, or nil and the time after which the request may be sent again.
	Charge(ctx context.Context, account *topology.Account, cost float64) (refund func(), retryAfter time.Duration)
}

// charge charges the account of the request. It returns how to give the charge back, which is nil without a quota, or why the request
// is refused.
func (relay *Relay) charge(ctx context.Context, account *topology.Account, request *exchange.Request) (func(), *outcome.Error) {
	if relay.deps.Quotas == nil || !account.Quota.Limited() {
		return nil, nil
	}
	refund, retryAfter := relay.deps.Quotas.Charge(ctx, account, cost(account, request))
	if refund == nil {
		return nil, outcome.New(outcome.TenantLimit, "the quota of account %s is used up", account.Name).WithRetryAfter(retryAfter)
	}
	return refund, nil
}

// cost returns what the request costs of the quota of the account.
func cost(account *topology.Account, request *exchange.Request) float64 {
	metadata := &request.Metadata
	return account.Quota.Cost(metadata.PromptTokens, metadata.OutputTokens, metadata.TokensStated)
}
