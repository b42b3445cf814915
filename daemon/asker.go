package daemon

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/peer"
)

// deciderAsker asks the decider of the own data centre, and those of others for what it refuses.
// Each duty that asks has one of its own.
type deciderAsker struct {
	name       string
	dataCentre string
	// candidates are the candidacies of this daemon.
	candidates *candidates
	node       *peer.Node
	// address returns the address of a daemon for other daemons, or an empty one if it is not known.
	address func(daemon string) string
	// live returns the live daemons of a data centre.
	live func(dataCentre string) []string
	// dataCentres names all data centres.
	dataCentres []string
	// named holds by data centre the daemon that last decided there. It belongs to the duty.
	named map[string]string
}

// ask delivers the wants to the decider of the own data centre. What that refuses for want of room
// is asked of the other data centres in turn.
func (asker *deciderAsker) ask(ctx context.Context, wants []peer.TargetDemand) (peer.DemandResult, error) {
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
func refusedWants(wants []peer.TargetDemand, estimates []peer.Estimate) []peer.TargetDemand {
	var refused []peer.TargetDemand
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

// askDataCentre delivers the wants to the decider of a data centre.
func (asker *deciderAsker) askDataCentre(ctx context.Context, dataCentre string, wants []peer.TargetDemand) (peer.DemandResult, error) {
	answer := asker.candidates.byDataCentre[dataCentre].demand(asker.name, wants)
	if answer.Decides {
		return answer, nil
	}
	err := asker.search(dataCentre, func(address string) (decides bool, named string, err error) {
		answer, err = asker.node.ReportDemand(ctx, address, dataCentre, wants)
		return answer.Decides, answer.Decider, err
	})
	return answer, err
}

// askGrant asks the decider of the own data centre for transfers of adapters.
func (asker *deciderAsker) askGrant(ctx context.Context, request peer.GrantRequest) (peer.Grant, error) {
	grant := asker.candidates.byDataCentre[asker.dataCentre].grant(asker.name, request)
	if grant.Decides {
		return grant, nil
	}
	err := asker.search(asker.dataCentre, func(address string) (decides bool, named string, err error) {
		grant, err = asker.node.RequestGrant(ctx, address, request)
		return grant.Decides, grant.Decider, err
	})
	return grant, err
}

// search calls ask with addresses until one decides for the data centre: the holder of the lease as
// last read, the one that last decided, any daemon there, and whom these name.
func (asker *deciderAsker) search(dataCentre string, ask func(address string) (decides bool, named string, err error)) error {
	queue := append([]string{asker.candidates.byDataCentre[dataCentre].leader(), asker.named[dataCentre]}, asker.live(dataCentre)...)
	asked := map[string]bool{"": true, asker.name: true}
	var last error
	for len(queue) > 0 {
		daemon := queue[0]
		queue = queue[1:]
		address := asker.address(daemon)
		if asked[daemon] || address == "" {
			continue
		}
		asked[daemon] = true
		decides, named, err := ask(address)
		if err == nil && decides {
			asker.named[dataCentre] = daemon
			return nil
		}
		queue = append([]string{named}, queue...)
		last = err
	}
	return trace.ConnectionProblem(last, "no daemon decides for %s", dataCentre)
}
