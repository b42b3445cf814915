package daemon

import (
	"context"

	"github.com/bronzestall/bronzestall/peer"
)

// candidates holds the candidacies of this daemon by data centre and handles the calls of other daemons to
// the decider.
type candidates struct {
	// byDataCentre has an entry for each data centre and is not changed after the start.
	byDataCentre map[string]*candidate
	// dataCentreOf returns the data centre of a daemon, or an empty name if it is not known.
	dataCentreOf func(daemon string) string
}

// Demand handles the demand report of a daemon for a data centre; an empty name means the daemon's own. For
// an unknown data centre the response is the zero value.
func (candidates *candidates) HandleDemand(_ context.Context, from, dataCentre string, entries []peer.TargetDemand) (peer.DemandResult, error) {
	if dataCentre == "" {
		dataCentre = candidates.dataCentreOf(from)
	}
	candidate, ok := candidates.byDataCentre[dataCentre]
	if !ok {
		return peer.DemandResult{}, nil
	}
	return candidate.handleDemand(from, entries), nil
}

// Grant handles the request of a daemon for adapter transfers from the quota of its data centre. For an
// unknown data centre the response is the zero value.
func (candidates *candidates) Grant(_ context.Context, from string, request peer.GrantRequest) (peer.Grant, error) {
	candidate, ok := candidates.byDataCentre[candidates.dataCentreOf(from)]
	if !ok {
		return peer.Grant{}, nil
	}
	return candidate.grant(from, request), nil
}
