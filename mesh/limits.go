package mesh

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/ratelimit"
)

const (
	// maxLimits bounds the limits that are accepted from one message, and maxAsks the questions.
	maxLimits = 4096
	maxAsks   = 1024
	// askTimeout bounds a question for tokens: requests wait for them, so that another daemon is asked soon.
	askTimeout = 300 * time.Millisecond
	// limitParts is the factor by which limits are multiplied in messages.
	limitParts = 1024
	// maxLimitAge bounds the age of a limit in a message.
	maxLimitAge = 24 * time.Hour
)

// AskTokens asks the daemon at the address for tokens, in the name of this daemon. limits is what this daemon knows of
// the limits in question. The grants are in the order of the questions.
func (node *Node) AskTokens(ctx context.Context, address string, asks []ratelimit.Ask, limits []ratelimit.Entry) ([]ratelimit.Grant, error) {
	request := &meshpb.TokenRequest{Daemon: node.settings.Self.Name, Asks: encodeAsks(asks), Limits: encodeLimits(limits, node.clock.Now())}
	response, err := call[meshpb.TokenRequest, meshpb.TokenResponse](ctx, node, address, tokensProcedure, request, askTimeout)
	if err != nil {
		return nil, err
	}
	grants := decodeGrants(response.GetGrants())
	if len(grants) != len(asks) {
		return nil, trace.BadParameter("%d grants for %d questions", len(grants), len(asks))
	}
	return grants, nil
}

// serveTokens responds to the questions of another daemon.
func (node *Node) serveTokens(_ context.Context, request *meshpb.TokenRequest) (*meshpb.TokenResponse, error) {
	node.deps.ReceiveLimits(decodeLimits(request.GetLimits(), node.clock.Now()))
	response := &meshpb.TokenResponse{}
	for _, grant := range node.deps.Grant(request.GetDaemon(), decodeAsks(request.GetAsks())) {
		response.Grants = append(response.Grants, &meshpb.TokenGrant{
			Tokens:  uint32(grant.Tokens),
			Next:    uint64(grant.Next.Milliseconds()),
			Refused: grant.Refused,
		})
	}
	return response, nil
}

// encodeLimits encodes limits with the time since they were confirmed, since the clocks of daemons differ.
func encodeLimits(entries []ratelimit.Entry, now time.Time) []*meshpb.Limit {
	encoded := make([]*meshpb.Limit, 0, len(entries))
	for _, entry := range entries {
		encoded = append(encoded, &meshpb.Limit{
			Replica: entry.ID,
			Born:    entry.Started,
			Parts:   uint64(entry.PerSecond * limitParts),
			Age:     ageMilliseconds(entry.Confirmed, now),
		})
	}
	return encoded
}

func decodeLimits(encoded []*meshpb.Limit, now time.Time) []ratelimit.Entry {
	entries := make([]ratelimit.Entry, 0, len(encoded))
	for _, next := range encoded[:min(len(encoded), maxLimits)] {
		entries = append(entries, ratelimit.Entry{
			Incarnation: decodeIncarnation(next),
			Limit: ratelimit.Limit{
				PerSecond: float64(next.GetParts()) / limitParts,
				Confirmed: now.Add(-limitAge(next)),
			},
		})
	}
	return entries
}

// limitAge returns the time since a limit was confirmed.
func limitAge(limit *meshpb.Limit) time.Duration {
	return milliseconds(min(limit.GetAge(), uint64(maxLimitAge.Milliseconds())))
}

func encodeAsks(asks []ratelimit.Ask) []*meshpb.TokenAsk {
	encoded := make([]*meshpb.TokenAsk, 0, len(asks))
	for _, ask := range asks {
		encoded = append(encoded, &meshpb.TokenAsk{
			Replica: ask.Replica.ID, Born: ask.Replica.Started, Sequence: ask.Sequence, Answered: ask.Answered,
			Held: uint32(ask.Held), Wanted: uint32(ask.Wanted), Unused: uint32(ask.Unused),
		})
	}
	return encoded
}

func decodeAsks(encoded []*meshpb.TokenAsk) []ratelimit.Ask {
	asks := make([]ratelimit.Ask, 0, len(encoded))
	for _, next := range encoded[:min(len(encoded), maxAsks)] {
		asks = append(asks, ratelimit.Ask{
			Replica:  decodeIncarnation(next),
			Sequence: next.GetSequence(), Answered: next.GetAnswered(),
			Held: int(next.GetHeld()), Wanted: int(next.GetWanted()), Unused: int(next.GetUnused()),
		})
	}
	return asks
}

func decodeGrants(encoded []*meshpb.TokenGrant) []ratelimit.Grant {
	grants := make([]ratelimit.Grant, 0, len(encoded))
	for _, grant := range encoded {
		grants = append(grants, ratelimit.Grant{Tokens: int(grant.GetTokens()), Next: milliseconds(grant.GetNext()), Refused: grant.GetRefused()})
	}
	return grants
}
