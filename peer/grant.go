package peer

import (
	"context"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// Grant asks the decider at the address for transfers of adapters. Repeating
// it with the same ID is harmless.
func (node *Node) Grant(ctx context.Context, address string, request GrantRequest) (Grant, error) {
	message := &peerpb.GrantRequest{Sender: node.Self().digest(), Id: request.ID, Transfers: uint32(request.Transfers)}
	ctx, cancel := node.bound(ctx)
	defer cancel()
	response, err := call[peerpb.GrantRequest, peerpb.GrantResponse](ctx, node.wire, address, grantProcedure, message)
	if err != nil {
		return Grant{}, err
	}
	return Grant{
		Decides:   response.GetDecides(),
		Decider:   response.GetDecider(),
		Transfers: min(int(response.GetTransfers()), request.Transfers),
		Lasts:     duration(response.GetRemaining()),
	}, nil
}

func (node *Node) serveGrant(ctx context.Context, request *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	if node.settings.Decider == nil {
		return nil, ErrNotOffered
	}
	asked := GrantRequest{ID: request.GetId(), Transfers: int(request.GetTransfers())}
	grant, err := node.settings.Decider.Grant(ctx, request.GetSender().GetName(), asked)
	if err != nil {
		return nil, err
	}
	return &peerpb.GrantResponse{
		Decides:   grant.Decides,
		Decider:   grant.Decider,
		Transfers: uint32(grant.Transfers),
		Remaining: milliseconds(grant.Lasts),
	}, nil
}
