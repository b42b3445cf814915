package daemon

import (
	"context"

	"github.com/bronzestall/bronzestall/peer"
)

// seats holds the candidacies of this daemon by data centre. It answers demand of peers.
type seats struct {
	// byDataCentre never changes.
	byDataCentre map[string]*seat
	// dataCentreOf returns the data centre of a daemon, or an empty name if it is not known.
	dataCentreOf func(daemon string) string
}

// Demand takes what a daemon wants of a data centre; an empty one is that of the daemon.
func (seats *seats) Demand(_ context.Context, from, dataCentre string, wants []peer.Want) (peer.DemandAnswer, error) {
	if dataCentre == "" {
		dataCentre = seats.dataCentreOf(from)
	}
	seat, ok := seats.byDataCentre[dataCentre]
	if !ok {
		return peer.DemandAnswer{}, nil
	}
	return seat.demand(from, wants), nil
}

// Grant gives a daemon transfers of adapters out of the part of its data centre.
func (seats *seats) Grant(_ context.Context, from string, request peer.GrantRequest) (peer.Grant, error) {
	seat, ok := seats.byDataCentre[seats.dataCentreOf(from)]
	if !ok {
		return peer.Grant{}, nil
	}
	return seat.grant(from, request), nil
}
