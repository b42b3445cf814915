package mesh

import (
	"context"
	"math"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/quota"
)

// quotaTimeout bounds a question for amounts of quotas. It is short, since requests wait for the amounts.
const quotaTimeout = 150 * time.Millisecond

// AskQuotas asks the daemon at the address for amounts of the quotas of accounts, in the name of this daemon. The grants are in the order
// of the questions.
func (node *Node) AskQuotas(ctx context.Context, address string, asks []quota.Ask) ([]quota.Grant, error) {
	request := &meshpb.QuotaRequest{Daemon: node.settings.Self.Name, Asks: encodeQuotaAsks(asks)}
	response, err := call[meshpb.QuotaRequest, meshpb.QuotaResponse](ctx, node, address, quotasProcedure, request, quotaTimeout)
	if err != nil {
		return nil, err
	}
	grants := decodeQuotaGrants(response.GetGrants())
	if len(grants) != len(asks) {
		return nil, trace.BadParameter("%d grants for %d questions", len(grants), len(asks))
	}
	return grants, nil
}

// serveQuotas responds to the questions of another daemon.
func (node *Node) serveQuotas(_ context.Context, request *meshpb.QuotaRequest) (*meshpb.QuotaResponse, error) {
	grants := node.deps.GrantQuotas(request.GetDaemon(), decodeQuotaAsks(request.GetAsks()))
	return &meshpb.QuotaResponse{Grants: encodeQuotaGrants(grants)}, nil
}

func encodeQuotaAsks(asks []quota.Ask) []*meshpb.QuotaAsk {
	encoded := make([]*meshpb.QuotaAsk, 0, len(asks))
	for index := range asks {
		ask := &asks[index]
		encoded = append(encoded, &meshpb.QuotaAsk{
			Account: ask.Account, Sequence: ask.Sequence, Answered: ask.Answered, Held: encodeAmount(ask.Held), First: encodeNeed(ask.First), Need: encodeNeed(ask.Need),
			Ahead: encodeAmount(ask.Ahead), Mean: encodeAmount(ask.Mean), Returned: encodeAmount(ask.Returned), Demand: encodeAmount(ask.Demand), Closing: ask.Closing,
		})
	}
	return encoded
}

func decodeQuotaAsks(encoded []*meshpb.QuotaAsk) []quota.Ask {
	asks := make([]quota.Ask, 0, min(len(encoded), maxAsks))
	for _, next := range encoded[:min(len(encoded), maxAsks)] {
		asks = append(asks, quota.Ask{
			Account: next.GetAccount(), Sequence: next.GetSequence(), Answered: next.GetAnswered(),
			Held: decodeAmount(next.GetHeld()), First: decodeAmount(next.GetFirst()), Need: decodeAmount(next.GetNeed()),
			Ahead: decodeAmount(next.GetAhead()), Mean: decodeAmount(next.GetMean()), Returned: decodeAmount(next.GetReturned()),
			Demand: decodeAmount(next.GetDemand()), Closing: next.GetClosing(),
		})
	}
	return asks
}

func encodeQuotaGrants(grants []quota.Grant) []*meshpb.QuotaGrant {
	encoded := make([]*meshpb.QuotaGrant, 0, len(grants))
	for _, grant := range grants {
		encoded = append(encoded, &meshpb.QuotaGrant{
			Amount: encodeAmount(grant.Amount), Next: uint64(grant.Next.Milliseconds()), Available: uint64(grant.Available.Milliseconds()), Refused: grant.Refused,
		})
	}
	return encoded
}

func decodeQuotaGrants(encoded []*meshpb.QuotaGrant) []quota.Grant {
	grants := make([]quota.Grant, 0, len(encoded))
	for _, next := range encoded {
		grants = append(grants, quota.Grant{
			Amount: decodeAmount(next.GetAmount()), Next: milliseconds(next.GetNext()), Available: milliseconds(next.GetAvailable()), Refused: next.GetRefused(),
		})
	}
	return grants
}

const (
	// amountParts is the factor by which amounts are multiplied in messages.
	amountParts = 1000
	// maxAmount bounds amounts in messages, so that sums of them stay finite.
	maxAmount = 1e15
)

// encodeAmount returns the amount in parts, rounded to the next one.
func encodeAmount(amount float64) uint64 {
	return uint64(math.Round(min(max(amount, 0), maxAmount) * amountParts))
}

// encodeNeed returns an amount in parts, rounded up: a request cannot run with less than it needs.
func encodeNeed(amount float64) uint64 {
	return uint64(math.Ceil(min(max(amount, 0), maxAmount) * amountParts))
}

func decodeAmount(parts uint64) float64 {
	return min(float64(parts)/amountParts, maxAmount)
}
