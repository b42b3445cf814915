package mesh

import (
	"context"

	"connectrpc.com/connect"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
)

// Ping asks the daemon at the address whether it responds, until the context ends. A daemon of an older build, which does not know the
// question, responds as well.
func (node *Node) Ping(ctx context.Context, address string) error {
	_, err := call[meshpb.Ping, meshpb.Ping](ctx, node, address, pingProcedure, &meshpb.Ping{}, node.settings.CallTimeout)
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return nil
	}
	return err
}

func servePing(_ context.Context, ping *meshpb.Ping) (*meshpb.Ping, error) {
	return ping, nil
}
