package daemon

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/peer"
)

// deciderAsker finds the decider of the own data centre: this daemon, the holder of the lease as
// last read, the one that a peer names, or any daemon of the data centre that says it decides.
type deciderAsker struct {
	name string
	seat *seat
	node *peer.Node
	// address returns the address of a daemon for other daemons, or an empty one if it is not known.
	address func(daemon string) string
	// named is the daemon that a peer last named as the decider. It belongs to the goroutine of demand.
	named string
}

func (asker *deciderAsker) ask(ctx context.Context, wants []peer.Want) (peer.DemandAnswer, error) {
	if answer := asker.seat.demand(asker.name, wants); answer.Decides {
		return answer, nil
	}
	var last error
	for _, daemon := range asker.candidates() {
		answer, err := asker.askOne(ctx, daemon, wants)
		if err == nil && answer.Decides {
			asker.named = daemon
			return answer, nil
		}
		last = err
	}
	return peer.DemandAnswer{}, trace.ConnectionProblem(last, "no daemon of the data centre decides")
}

// candidates returns the daemons to ask, the likely ones first and each once.
func (asker *deciderAsker) candidates() []string {
	likely := append([]string{asker.seat.leader(), asker.named}, asker.node.Live()...)
	var names []string
	for _, name := range likely {
		if name != "" && name != asker.name && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func (asker *deciderAsker) askOne(ctx context.Context, daemon string, wants []peer.Want) (peer.DemandAnswer, error) {
	address := asker.address(daemon)
	if address == "" {
		return peer.DemandAnswer{}, trace.NotFound("the address of %s is not known", daemon)
	}
	return asker.node.Demand(ctx, address, wants)
}
