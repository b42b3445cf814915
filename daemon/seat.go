package daemon

import (
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/decider"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/permit"
	"github.com/bronzestall/bronzestall/placement"
)

// seat is the candidacy of this daemon for deciding in one data centre.
type seat struct {
	dataCentre string
	clock      clock.Clock
	warmth     *warmth
	// transfers is the number of adapter transfers in flight that belong to the data centre.
	transfers int
	mutex     sync.Mutex
	// grants divides them among daemons. It is new with each candidacy.
	grants *permit.Grants
	// lease and decider are nil while this daemon is no candidate.
	lease   *lease.Lease
	decider *decider.Decider
}

// take makes the daemon a candidate.
func (seat *seat) take(lease *lease.Lease, decider *decider.Decider) {
	seat.mutex.Lock()
	defer seat.mutex.Unlock()
	seat.lease = lease
	seat.decider = decider
	seat.grants = permit.NewGrants(grantLasts)
}

// leave ends the candidacy.
func (seat *seat) leave() {
	seat.take(nil, nil)
}

func (seat *seat) parts() (*lease.Lease, *decider.Decider) {
	seat.mutex.Lock()
	defer seat.mutex.Unlock()
	return seat.lease, seat.decider
}

// decides returns the decider if this daemon owns the lease.
func (seat *seat) decides() (*decider.Decider, bool) {
	held, decides := seat.parts()
	if held == nil {
		return nil, false
	}
	_, owned := held.Owned()
	return decides, owned
}

// leader returns the name of the daemon that holds the lease, or an empty name.
func (seat *seat) leader() string {
	held, _ := seat.parts()
	if held == nil {
		return ""
	}
	leader, _ := held.Leader()
	return leader.Name
}

// demand takes what a daemon wants if this daemon decides, and else names the one that does.
func (seat *seat) demand(from string, wants []peer.Want) peer.DemandAnswer {
	decides, owned := seat.decides()
	if !owned {
		return peer.DemandAnswer{Decider: seat.leader()}
	}
	decides.Report(from, demands(wants))
	answer := peer.DemandAnswer{Decides: true, Decider: seat.leader()}
	for _, want := range wants {
		seat.warmth.Observe(catalogue.Target{Model: want.Model, Adapter: want.Adapter}, want.Arrived)
		answer.Estimates = append(answer.Estimates, estimate(want, decides.Estimate(want.Model)))
	}
	return answer
}

// grantLasts is how long a grant of transfers lasts without a new one.
const grantLasts = 3 * time.Second

// grant divides the transfers of the data centre if this daemon decides, and else names the one that
// does. A new decider does not know the grants of its predecessor, which lapse within seconds; until
// then transfers can exceed the limit, which makes them slower and breaks nothing.
func (seat *seat) grant(from string, request peer.GrantRequest) peer.Grant {
	if _, owned := seat.decides(); !owned {
		return peer.Grant{Decider: seat.leader()}
	}
	report := permit.Report{Sequence: request.Sequence, InFlight: request.InFlight, Waiting: request.Waiting}
	seat.mutex.Lock()
	defer seat.mutex.Unlock()
	made := seat.grants.Update(from, report, seat.transfers, seat.clock.Now())
	return peer.Grant{Decides: true, Sequence: made.Sequence, Transfers: made.Transfers, Lasts: made.Lasts}
}

func demands(wants []peer.Want) []placement.Demand {
	demands := make([]placement.Demand, 0, len(wants))
	for _, want := range wants {
		if want.Waiting+want.Running == 0 {
			continue
		}
		demands = append(demands, placement.Demand{
			Model:   want.Model,
			Adapter: want.Adapter,
			Waiting: want.Waiting,
			Running: want.Running,
			Oldest:  want.OldestDeadline,
		})
	}
	return demands
}

func estimate(want peer.Want, known decider.Estimate) peer.Estimate {
	made := peer.Estimate{Model: want.Model, Adapter: want.Adapter, Ready: known.ReadyIn}
	switch {
	case !known.Known:
		made.Readiness = peer.Unknown
	case known.Obstacle == placement.NoRoom:
		made.Readiness = peer.Refused
		made.Reason = "busy replicas hold the memory of every upstream"
	case known.Obstacle == placement.NoUpstream:
		made.Readiness = peer.Refused
		made.Reason = "no usable upstream can hold the model"
	case known.Failed:
		made.Readiness = peer.Refused
		made.Reason = "the last load failed"
	case known.Obstacle == placement.NoObstacle:
		made.Readiness = peer.Loading
	default:
		made.Readiness = peer.Decided
	}
	return made
}
