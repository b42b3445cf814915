package daemon

import (
	"context"

	"github.com/bronzestall/bronzestall/peer"
)

// candidates holds the candidacies of this daemon by data centre. It answers demand of peers.
type candidates struct {
	// byDataCentre never changes.
	byDataCentre map[string]*candidate
	// dataCentreOf returns the data centre of a daemon, or an empty name if it is not known.
	dataCentreOf func(daemon string) string
}

// HandleDemand takes what a daemon wants of a data centre; an empty one is that of the daemon.
func (candidates *candidates) HandleDemand(_ context.Context, from, dataCentre string, wants []peer.TargetDemand) (peer.DemandResult, error) {
	if dataCentre == "" {
		dataCentre = candidates.dataCentreOf(from)
	}
	candidate, ok := candidates.byDataCentre[dataCentre]
	if !ok {
		return peer.DemandResult{}, nil
	}
	return candidate.demand(from, wants), nil
}

// Grant gives a daemon transfers of adapters out of the part of its data centre.
func (candidates *candidates) Grant(_ context.Context, from string, request peer.GrantRequest) (peer.Grant, error) {
	candidate, ok := candidates.byDataCentre[candidates.dataCentreOf(from)]
	if !ok {
		return peer.Grant{}, nil
	}
	return candidate.grant(from, request), nil
}
