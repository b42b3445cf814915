package peer

import (
	"context"
	"slices"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// Quarantine is the local part of a daemon that keeps requests that crash upstreams apart.
// Its methods must not block.
type Quarantine interface {
	// Import merges suspects of another daemon.
	Import(suspects []Suspect)
	// Reserve gives the holder the right to run one suspect on the upstream, or reports false.
	Reserve(upstream, holder string) bool
	// Release gives the right of the holder back.
	Release(upstream, holder string)
}

// ShareSuspects tells the daemon at the address of suspects. It returns once they were taken.
func (node *Node) ShareSuspects(ctx context.Context, address string, suspects []Suspect) error {
	message := &peerpb.SuspectsRequest{Sender: node.Self().digest(), Suspects: encodeSuspects(suspects, node.clock.Now())}
	ctx, cancel := node.bound(ctx)
	defer cancel()
	_, err := call[peerpb.SuspectsRequest, peerpb.SuspectsResponse](ctx, node.wire, address, suspectsProcedure, message)
	return err
}

// Reserve asks the daemon at the address for the right to run one suspect on the upstream.
// Repeating it with the same holder is harmless.
func (node *Node) Reserve(ctx context.Context, address, upstream, holder string) (bool, error) {
	return node.askReserve(ctx, address, &peerpb.ReserveRequest{Upstream: upstream, Holder: holder})
}

// Release gives a right back. A release that is lost is made good by the end of the reservation.
func (node *Node) Release(ctx context.Context, address, upstream, holder string) error {
	_, err := node.askReserve(ctx, address, &peerpb.ReserveRequest{Upstream: upstream, Holder: holder, Release: true})
	return err
}

func (node *Node) askReserve(ctx context.Context, address string, message *peerpb.ReserveRequest) (bool, error) {
	message.Sender = node.Self().digest()
	ctx, cancel := node.bound(ctx)
	defer cancel()
	response, err := call[peerpb.ReserveRequest, peerpb.ReserveResponse](ctx, node.wire, address, reserveProcedure, message)
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
