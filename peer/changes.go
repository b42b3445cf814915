package peer

import (
	"context"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// InForce requests the number in force at the daemon at the address.
func (node *Node) InForce(ctx context.Context, address string) (uint64, error) {
	changes, err := node.fetchChanges(ctx, address, &peerpb.ChangesRequest{NumberOnly: true})
	return changes.InForce, err
}

// Changes requests the changes after the number from the daemon at the address.
func (node *Node) Changes(ctx context.Context, address string, after uint64) (Changes, error) {
	return node.fetchChanges(ctx, address, &peerpb.ChangesRequest{After: after})
}

func (node *Node) fetchChanges(ctx context.Context, address string, request *peerpb.ChangesRequest) (Changes, error) {
	ctx, cancel := node.withTimeout(ctx)
	defer cancel()
	response, err := call[peerpb.ChangesRequest, peerpb.ChangesResponse](ctx, node.client, address, changesProcedure, request)
	if err != nil {
		return Changes{}, err
	}
	return Changes{InForce: response.GetInForce(), Snapshot: response.GetSnapshot(), Content: response.GetContent()}, nil
}

func (node *Node) serveChanges(ctx context.Context, request *peerpb.ChangesRequest) (*peerpb.ChangesResponse, error) {
	notes := node.settings.Notes
	if notes == nil {
		return nil, ErrNotOffered
	}
	if request.GetNumberOnly() {
		return &peerpb.ChangesResponse{InForce: notes.InForce()}, nil
	}
	changes, err := notes.Since(ctx, request.GetAfter())
	if err != nil {
		return nil, err
	}
	return &peerpb.ChangesResponse{InForce: changes.InForce, Snapshot: changes.Snapshot, Content: changes.Content}, nil
}
