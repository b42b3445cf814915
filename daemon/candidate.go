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

// candidate is the candidacy of this daemon for deciding in one data centre.
type candidate struct {
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
func (candidate *candidate) take(lease *lease.Lease, decider *decider.Decider) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	candidate.lease = lease
	candidate.decider = decider
	candidate.grants = permit.NewGrants(grantLasts)
}

// leave ends the candidacy.
func (candidate *candidate) leave() {
	candidate.take(nil, nil)
}

func (candidate *candidate) parts() (*lease.Lease, *decider.Decider) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	return candidate.lease, candidate.decider
}

// decides returns the decider if this daemon owns the lease.
func (candidate *candidate) decides() (*decider.Decider, bool) {
	held, decides := candidate.parts()
	if held == nil {
		return nil, false
	}
	_, owned := held.Owned()
	return decides, owned
}

// leader returns the name of the daemon that holds the lease, or an empty name.
func (candidate *candidate) leader() string {
	held, _ := candidate.parts()
	if held == nil {
		return ""
	}
	leader, _ := held.Leader()
	return leader.Name
}

// demand takes what a daemon wants if this daemon decides, and else names the one that does.
func (candidate *candidate) demand(from string, wants []peer.TargetDemand) peer.DemandResult {
	decides, owned := candidate.decides()
	if !owned {
		return peer.DemandResult{Decider: candidate.leader()}
	}
	decides.Report(from, demands(wants))
	answer := peer.DemandResult{Decides: true, Decider: candidate.leader()}
	for _, want := range wants {
		candidate.warmth.Observe(catalogue.Target{Model: want.Model, Adapter: want.Adapter}, want.Arrived)
		answer.Estimates = append(answer.Estimates, estimate(want, decides.Estimate(want.Model)))
	}
	return answer
}

// grantLasts is how long a grant of transfers lasts without a new one.
const grantLasts = 3 * time.Second

// grant divides the transfers of the data centre if this daemon decides, and else names the one that
// does. A new decider does not know the grants of its predecessor, which lapse within seconds; until
// then transfers can exceed the limit, which makes them slower and breaks nothing.
func (candidate *candidate) grant(from string, request peer.GrantRequest) peer.Grant {
	if _, owned := candidate.decides(); !owned {
		return peer.Grant{Decider: candidate.leader()}
	}
	report := permit.Report{Sequence: request.Sequence, InFlight: request.InFlight, Waiting: request.Waiting}
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	made := candidate.grants.Update(from, report, candidate.transfers, candidate.clock.Now())
	return peer.Grant{Decides: true, Sequence: made.Sequence, Transfers: made.Transfers, Lasts: made.Lasts}
}

func demands(wants []peer.TargetDemand) []placement.Demand {
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

func estimate(want peer.TargetDemand, known decider.Estimate) peer.Estimate {
	made := peer.Estimate{Model: want.Model, Adapter: want.Adapter, ReadyIn: known.ReadyIn}
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
