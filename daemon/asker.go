package daemon

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/peer"
)

// deciderAsker asks the decider of the own data centre, and those of others for what it refuses.
// It belongs to the goroutine of demand.
type deciderAsker struct {
	name       string
	dataCentre string
	// seats are the candidacies of this daemon.
	seats *seats
	node  *peer.Node
	// address returns the address of a daemon for other daemons, or an empty one if it is not known.
	address func(daemon string) string
	// live returns the live daemons of a data centre.
	live func(dataCentre string) []string
	// dataCentres names all data centres.
	dataCentres []string
	// named holds by data centre the daemon that last decided there.
	named map[string]string
}

// ask delivers the wants to the decider of the own data centre. What that refuses for want of room
// is asked of the other data centres in turn.
func (asker *deciderAsker) ask(ctx context.Context, wants []peer.Want) (peer.DemandAnswer, error) {
	answer, err := asker.askDataCentre(ctx, asker.dataCentre, wants)
	if err != nil {
		return answer, err
	}
	for _, dataCentre := range asker.dataCentres {
		refused := refusedWants(wants, answer.Estimates)
		if len(refused) == 0 {
			break
		}
		if dataCentre == asker.dataCentre {
			continue
		}
		if elsewhere, err := asker.askDataCentre(ctx, dataCentre, refused); err == nil {
			answer.Estimates = replaceRefused(answer.Estimates, elsewhere.Estimates)
		}
	}
	return answer, nil
}

// refusedWants returns the wants that wait and are refused, without their arrivals, which the own
// data centre has counted.
func refusedWants(wants []peer.Want, estimates []peer.Estimate) []peer.Want {
	var refused []peer.Want
	for _, want := range wants {
		isRefused := slices.ContainsFunc(estimates, func(estimate peer.Estimate) bool {
			return estimate.Model == want.Model && estimate.Adapter == want.Adapter && estimate.Readiness == peer.Refused
		})
		if isRefused && want.Waiting > 0 {
			want.Arrived = 0
			refused = append(refused, want)
		}
	}
	return refused
}

// replaceRefused returns the estimates with refusals replaced by answers from elsewhere that are none.
func replaceRefused(estimates, elsewhere []peer.Estimate) []peer.Estimate {
	for place, estimate := range estimates {
		for _, other := range elsewhere {
			same := other.Model == estimate.Model && other.Adapter == estimate.Adapter
			if same && estimate.Readiness == peer.Refused && other.Readiness != peer.Refused {
				estimates[place] = other
			}
		}
	}
	return estimates
}

// askDataCentre finds the decider of a data centre: this daemon, the holder of the lease as last
// read, the one that last decided, or any daemon there that decides or names one.
func (asker *deciderAsker) askDataCentre(ctx context.Context, dataCentre string, wants []peer.Want) (peer.DemandAnswer, error) {
	seat := asker.seats.byDataCentre[dataCentre]
	if answer := seat.demand(asker.name, wants); answer.Decides {
		return answer, nil
	}
	queue := append([]string{seat.leader(), asker.named[dataCentre]}, asker.live(dataCentre)...)
	asked := map[string]bool{"": true, asker.name: true}
	var last error
	for len(queue) > 0 {
		daemon := queue[0]
		queue = queue[1:]
		if asked[daemon] {
			continue
		}
		asked[daemon] = true
		answer, err := asker.askOne(ctx, daemon, dataCentre, wants)
		if err == nil && answer.Decides {
			asker.named[dataCentre] = daemon
			return answer, nil
		}
		queue = append([]string{answer.Decider}, queue...)
		last = err
	}
	return peer.DemandAnswer{}, trace.ConnectionProblem(last, "no daemon decides for %s", dataCentre)
}

func (asker *deciderAsker) askOne(ctx context.Context, daemon, dataCentre string, wants []peer.Want) (peer.DemandAnswer, error) {
	address := asker.address(daemon)
	if address == "" {
		return peer.DemandAnswer{}, trace.NotFound("the address of %s is not known", daemon)
	}
	return asker.node.Demand(ctx, address, dataCentre, wants)
}
