package daemon

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/peer"
)

// deciderClient sends demand reports and grant requests to the decider of its own data centre, which it
// finds if it has changed. Demand that is refused there is reported to the deciders of other data centres.
// It is not safe for concurrent use; each task has its own.
type deciderClient struct {
	name       string
	dataCentre string
	// candidates are the candidacies of this daemon, which are tried without a call.
	candidates *candidates
	node       *peer.Node
	// address returns the peer address of a daemon, or an empty string if it is not known.
	address func(daemon string) string
	// live returns the live daemons of a data centre.
	live func(dataCentre string) []string
	// dataCentres names all data centres.
	dataCentres []string
	// knownDecider holds by data centre the daemon that last accepted a request as its decider.
	knownDecider map[string]string
}

// sendDemand reports the entries to the decider of the own data centre. Entries with waiting requests that
// are refused there are reported to the other data centres in turn, until one accepts them. It fails if the
// own data centre has no decider; errors of other data centres are ignored.
func (client *deciderClient) sendDemand(ctx context.Context, entries []peer.TargetDemand) (peer.DemandResult, error) {
	response, err := client.reportToDataCentre(ctx, client.dataCentre, entries)
	if err != nil {
		return response, err
	}
	for _, dataCentre := range client.dataCentres {
		refused := refusedEntries(entries, response.Estimates)
		if len(refused) == 0 {
			break
		}
		if dataCentre == client.dataCentre {
			continue
		}
		if remote, err := client.reportToDataCentre(ctx, dataCentre, refused); err == nil {
			response.Estimates = replaceRefused(response.Estimates, remote.Estimates)
		}
	}
	return response, nil
}

// refusedEntries returns the entries that have waiting requests and are refused. Their arrivals are set to
// zero, since the own data centre has counted them.
func refusedEntries(entries []peer.TargetDemand, estimates []peer.Estimate) []peer.TargetDemand {
	var refused []peer.TargetDemand
	for _, entry := range entries {
		isRefused := slices.ContainsFunc(estimates, func(estimate peer.Estimate) bool {
			return estimate.Model == entry.Model && estimate.Adapter == entry.Adapter && estimate.Readiness == peer.Refused
		})
		if isRefused && entry.Waiting > 0 {
			entry.Arrived = 0
			refused = append(refused, entry)
		}
	}
	return refused
}

// replaceRefused replaces refusals in estimates by remote estimates of the same target that are not refusals.
func replaceRefused(estimates, remote []peer.Estimate) []peer.Estimate {
	for index, estimate := range estimates {
		for _, other := range remote {
			same := other.Model == estimate.Model && other.Adapter == estimate.Adapter
			if same && estimate.Readiness == peer.Refused && other.Readiness != peer.Refused {
				estimates[index] = other
			}
		}
	}
	return estimates
}

// reportToDataCentre reports the entries to the decider of a data centre. It fails if none is found.
func (client *deciderClient) reportToDataCentre(ctx context.Context, dataCentre string, entries []peer.TargetDemand) (peer.DemandResult, error) {
	response := client.candidates.byDataCentre[dataCentre].handleDemand(client.name, entries)
	if response.Decides {
		return response, nil
	}
	err := client.findDecider(dataCentre, func(address string) (decides bool, knownDecider string, err error) {
		response, err = client.node.ReportDemand(ctx, address, dataCentre, entries)
		return response.Decides, response.Decider, err
	})
	return response, err
}

// requestGrant requests adapter transfers from the decider of the own data centre. It fails if none is found.
func (client *deciderClient) requestGrant(ctx context.Context, request peer.GrantRequest) (peer.Grant, error) {
	grant := client.candidates.byDataCentre[client.dataCentre].grant(client.name, request)
	if grant.Decides {
		return grant, nil
	}
	err := client.findDecider(client.dataCentre, func(address string) (decides bool, knownDecider string, err error) {
		grant, err = client.node.RequestGrant(ctx, address, request)
		return grant.Decides, grant.Decider, err
	})
	return grant, err
}

// findDecider calls daemons in turn until one is the decider of the data centre. It tries the lease holder
// as last read, the last known decider, and the live daemons there. A daemon that a response names as the
// decider is tried next. No daemon is called twice. It fails if none is the decider.
func (client *deciderClient) findDecider(dataCentre string, call func(address string) (decides bool, knownDecider string, err error)) error {
	queue := append([]string{client.candidates.byDataCentre[dataCentre].leader(), client.knownDecider[dataCentre]}, client.live(dataCentre)...)
	tried := map[string]bool{"": true, client.name: true}
	var lastErr error
	for len(queue) > 0 {
		daemon := queue[0]
		queue = queue[1:]
		address := client.address(daemon)
		if tried[daemon] || address == "" {
			continue
		}
		tried[daemon] = true
		decides, knownDecider, err := call(address)
		if err == nil && decides {
			client.knownDecider[dataCentre] = daemon
			return nil
		}
		queue = append([]string{knownDecider}, queue...)
		lastErr = err
	}
	return trace.ConnectionProblem(lastErr, "no decider found for data centre %s", dataCentre)
}
