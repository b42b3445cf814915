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

// candidate is the candidacy of this daemon to be the decider of one data centre. It handles demand reports
// and grant requests while this daemon is the decider.
type candidate struct {
	dataCentre string
	clock      clock.Clock
	keepWarm   *keepWarm
	// transferQuota is the number of adapter transfers that the data centre may have in flight.
	transferQuota int
	mutex         sync.Mutex
	// allocator divides the quota among daemons. Each candidacy starts with a new one.
	allocator *permit.Allocator
	// lease and decider are nil while this daemon is not a candidate.
	lease   *lease.Lease
	decider *decider.Decider
}

// set begins a candidacy with the lease and the decider; nil values end it.
func (candidate *candidate) set(lease *lease.Lease, decider *decider.Decider) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	candidate.lease = lease
	candidate.decider = decider
	candidate.allocator = permit.NewAllocator(grantLifetime)
}

// clear ends the candidacy.
func (candidate *candidate) clear() {
	candidate.set(nil, nil)
}

// current returns the lease and the decider, or nil values while this daemon is not a candidate.
func (candidate *candidate) current() (*lease.Lease, *decider.Decider) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	return candidate.lease, candidate.decider
}

// activeDecider returns the decider, and whether this daemon owns the lease.
func (candidate *candidate) activeDecider() (*decider.Decider, bool) {
	deciderLease, activeDecider := candidate.current()
	if deciderLease == nil {
		return nil, false
	}
	_, owned := deciderLease.Owned()
	return activeDecider, owned
}

// leader returns the name of the lease holder as last read, or an empty name if it is not known.
func (candidate *candidate) leader() string {
	deciderLease, _ := candidate.current()
	if deciderLease == nil {
		return ""
	}
	leader, _ := deciderLease.Leader()
	return leader.Name
}

// handleDemand records the demand of a daemon and returns estimates if this daemon is the decider. Otherwise
// the response names the lease holder.
func (candidate *candidate) handleDemand(from string, entries []peer.TargetDemand) peer.DemandResult {
	activeDecider, owned := candidate.activeDecider()
	if !owned {
		return peer.DemandResult{Decider: candidate.leader()}
	}
	activeDecider.Report(from, placementDemands(entries))
	response := peer.DemandResult{Decides: true, Decider: candidate.leader()}
	for _, entry := range entries {
		candidate.keepWarm.Observe(catalogue.Target{Model: entry.Model, Adapter: entry.Adapter}, entry.Arrived)
		response.Estimates = append(response.Estimates, estimate(entry, activeDecider.Estimate(entry.Model)))
	}
	return response
}

// grantLifetime is how long a grant of transfers is valid without renewal.
const grantLifetime = 3 * time.Second

// grant allocates a daemon its part of the transfer quota if this daemon is the decider. Otherwise the response
// names the lease holder. A new decider does not know the grants of its predecessor, which expire within
// seconds; until then the transfers can exceed the quota, which only makes them slower.
func (candidate *candidate) grant(from string, request peer.GrantRequest) peer.Grant {
	if _, owned := candidate.activeDecider(); !owned {
		return peer.Grant{Decider: candidate.leader()}
	}
	report := permit.Report{Sequence: request.Sequence, InFlight: request.InFlight, Waiting: request.Waiting}
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	allocation := candidate.allocator.Update(from, report, candidate.transferQuota, candidate.clock.Now())
	return peer.Grant{Decides: true, Sequence: allocation.Sequence, Transfers: allocation.Transfers, Lasts: allocation.Lasts}
}

// placementDemands converts entries with waiting or running requests for the placement.
func placementDemands(entries []peer.TargetDemand) []placement.Demand {
	placementDemands := make([]placement.Demand, 0, len(entries))
	for _, entry := range entries {
		if entry.Waiting+entry.Running == 0 {
			continue
		}
		placementDemands = append(placementDemands, placement.Demand{
			Model:   entry.Model,
			Adapter: entry.Adapter,
			Waiting: entry.Waiting,
			Running: entry.Running,
			Oldest:  entry.OldestDeadline,
		})
	}
	return placementDemands
}

// estimate converts the decider's estimate of a model into the response to an entry.
func estimate(entry peer.TargetDemand, decision decider.Estimate) peer.Estimate {
	result := peer.Estimate{Model: entry.Model, Adapter: entry.Adapter, ReadyIn: decision.ReadyIn}
	switch {
	case !decision.Known:
		result.Readiness = peer.Unknown
	case decision.Obstacle == placement.NoRoom:
		result.Readiness = peer.Refused
		result.Reason = "busy replicas hold the memory of every upstream"
	case decision.Obstacle == placement.NoUpstream:
		result.Readiness = peer.Refused
		result.Reason = "no usable upstream can hold the model"
	case decision.Failed:
		result.Readiness = peer.Refused
		result.Reason = "the last load failed"
	case decision.Obstacle == placement.NoObstacle:
		result.Readiness = peer.Loading
	default:
		result.Readiness = peer.Decided
	}
	return result
}
