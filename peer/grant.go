package peer

import (
	"context"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// RequestGrant asks the decider at the address for transfers of adapters. Each call replaces the grant before.
func (node *Node) RequestGrant(ctx context.Context, address string, request GrantRequest) (Grant, error) {
	message := &peerpb.GrantRequest{
		Sender:   node.Self().digest(),
		Sequence: request.Sequence,
		InFlight: uint32(request.InFlight),
		Waiting:  uint32(request.Waiting),
	}
	ctx, cancel := node.bound(ctx)
	defer cancel()
	response, err := call[peerpb.GrantRequest, peerpb.GrantResponse](ctx, node.wire, address, grantProcedure, message)
	if err != nil {
		return Grant{}, err
	}
	return Grant{
		Decides:   response.GetDecides(),
		Decider:   response.GetDecider(),
		Sequence:  response.GetSequence(),
		Transfers: int(response.GetTransfers()),
		Lasts:     duration(response.GetRemaining()),
	}, nil
}

func (node *Node) serveGrant(ctx context.Context, request *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	if node.settings.Decider == nil {
		return nil, ErrNotOffered
	}
	asked := GrantRequest{Sequence: request.GetSequence(), InFlight: int(request.GetInFlight()), Waiting: int(request.GetWaiting())}
	grant, err := node.settings.Decider.Grant(ctx, request.GetSender().GetName(), asked)
	if err != nil {
		return nil, err
	}
	return &peerpb.GrantResponse{
		Decides:   grant.Decides,
		Decider:   grant.Decider,
		Sequence:  grant.Sequence,
		Transfers: uint32(grant.Transfers),
		Remaining: milliseconds(grant.Lasts),
	}, nil
}
