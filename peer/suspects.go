package peer

import (
	"context"
	"slices"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// Quarantine handles the calls of other daemons about suspects, requests that may crash upstreams. Its methods
// must not block.
type Quarantine interface {
	// Import merges suspects that another daemon shared.
	Import(suspects []Suspect)
	// Reserve reserves the right to run one suspect on the upstream for the holder. It reports false if the right is
	// not available.
	Reserve(upstream, holder string) bool
	// Release ends the holder's reservation of the upstream.
	Release(upstream, holder string)
}

// ShareSuspects sends suspects to the daemon at the address. It returns once that daemon has imported them.
func (node *Node) ShareSuspects(ctx context.Context, address string, suspects []Suspect) error {
	message := &peerpb.SuspectsRequest{Sender: node.Self().digest(), Suspects: encodeSuspects(suspects, node.clock.Now())}
	ctx, cancel := node.withTimeout(ctx)
	defer cancel()
	_, err := call[peerpb.SuspectsRequest, peerpb.SuspectsResponse](ctx, node.client, address, suspectsProcedure, message)
	return err
}

// Reserve requests from the daemon at the address the right to run one suspect on the upstream. Repeated calls
// with the same holder are harmless.
func (node *Node) Reserve(ctx context.Context, address, upstream, holder string) (bool, error) {
	return node.callReserve(ctx, address, &peerpb.ReserveRequest{Upstream: upstream, Holder: holder})
}

// Release ends a reservation. If the call is lost, the reservation expires.
func (node *Node) Release(ctx context.Context, address, upstream, holder string) error {
	_, err := node.callReserve(ctx, address, &peerpb.ReserveRequest{Upstream: upstream, Holder: holder, Release: true})
	return err
}

func (node *Node) callReserve(ctx context.Context, address string, message *peerpb.ReserveRequest) (bool, error) {
	message.Sender = node.Self().digest()
	ctx, cancel := node.withTimeout(ctx)
	defer cancel()
	response, err := call[peerpb.ReserveRequest, peerpb.ReserveResponse](ctx, node.client, address, reserveProcedure, message)
	return response.GetGranted(), err
}

func (node *Node) serveSuspects(_ context.Context, request *peerpb.SuspectsRequest) (*peerpb.SuspectsResponse, error) {
	if node.settings.Quarantine == nil {
		return nil, ErrNotOffered
	}
	suspects := decodeSuspects(request.GetSuspects(), node.clock.Now())
	node.settings.Quarantine.Import(suspects)
	return &peerpb.SuspectsResponse{Taken: uint32(len(suspects))}, nil
}

func (node *Node) serveReserve(_ context.Context, request *peerpb.ReserveRequest) (*peerpb.ReserveResponse, error) {
	if node.settings.Quarantine == nil {
		return nil, ErrNotOffered
	}
	if request.GetRelease() {
		node.settings.Quarantine.Release(request.GetUpstream(), request.GetHolder())
		return &peerpb.ReserveResponse{}, nil
	}
	granted := node.settings.Quarantine.Reserve(request.GetUpstream(), request.GetHolder())
	return &peerpb.ReserveResponse{Granted: granted}, nil
}

func sameSuspects(a, b []Suspect) bool {
	return slices.EqualFunc(a, b, func(a, b Suspect) bool {
		return a.Fingerprint == b.Fingerprint && a.Until.Equal(b.Until) && slices.Equal(a.Crashes, b.Crashes)
	})
}
