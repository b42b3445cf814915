package peer

import (
	"context"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// RequestGrant requests adapter transfers from the decider at the address. Each grant replaces the previous one.
func (node *Node) RequestGrant(ctx context.Context, address string, request GrantRequest) (Grant, error) {
	message := &peerpb.GrantRequest{
		Sender:   node.Self().digest(),
		Sequence: request.Sequence,
		InFlight: uint32(request.InFlight),
		Waiting:  uint32(request.Waiting),
	}
	ctx, cancel := node.withTimeout(ctx)
	defer cancel()
	response, err := call[peerpb.GrantRequest, peerpb.GrantResponse](ctx, node.client, address, grantProcedure, message)
	if err != nil {
		return Grant{}, err
	}
	return Grant{
		Decides:   response.GetDecides(),
		Decider:   response.GetDecider(),
		Sequence:  response.GetSequence(),
		Transfers: int(response.GetTransfers()),
		Lasts:     decodeDuration(response.GetRemaining()),
	}, nil
}

func (node *Node) serveGrant(ctx context.Context, request *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	if node.settings.Decider == nil {
		return nil, ErrNotOffered
	}
	decoded := GrantRequest{Sequence: request.GetSequence(), InFlight: int(request.GetInFlight()), Waiting: int(request.GetWaiting())}
	grant, err := node.settings.Decider.Grant(ctx, request.GetSender().GetName(), decoded)
	if err != nil {
		return nil, err
	}
	return &peerpb.GrantResponse{
		Decides:   grant.Decides,
		Decider:   grant.Decider,
		Sequence:  grant.Sequence,
		Transfers: uint32(grant.Transfers),
		Remaining: encodeDuration(grant.Lasts),
	}, nil
}
