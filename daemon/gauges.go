package daemon

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/upstream"
)

// gaugeInterval is the interval at which gauges are updated.
const gaugeInterval = 2 * time.Second

func (daemon *Daemon) setGauges(ctx context.Context) error {
	return every(ctx, daemon.clock, gaugeInterval, func(context.Context) {
		_, number, _ := daemon.catalogue()
		daemon.meter.Set(meter.InForce, meter.Labels{}, int64(number))
		daemon.meter.Set(meter.PeersHeard, meter.Labels{}, int64(len(daemon.node.Records())))
		daemon.meter.Set(meter.Build, meter.Labels{Subject: protocol.Build()}, int64(protocol.Current))
		daemon.meter.Set(meter.InvariantsBroken, meter.Labels{}, invariant.Violations())
		daemon.setCandidateGauges()
		daemon.meter.Set(meter.ReplicasLoaded, meter.Labels{Subject: daemon.settings.DataCentre}, daemon.readyReplicas())
	})
}

// setCandidateGauges sets the gauges of the lease of each data centre, and those of the decider where this
// daemon is it.
func (daemon *Daemon) setCandidateGauges() {
	for dataCentre, candidate := range daemon.candidates.byDataCentre {
		activeDecider, owned := candidate.activeDecider()
		subject := meter.Labels{Subject: dataCentre}
		daemon.meter.Set(meter.LeaseHeld, subject, gaugeValue(owned))
		if !owned {
			continue
		}
		status := activeDecider.Status()
		daemon.meter.Set(meter.LoadsOpen, subject, int64(status.Open))
		daemon.meter.Set(meter.LoadPermits, subject, int64(status.Slots))
		daemon.meter.Set(meter.LoadPermitsBusy, subject, int64(status.Busy))
		for upstreamName, charged := range status.Charged {
			daemon.meter.Set(meter.MemoryCharged, meter.Labels{Subject: upstreamName}, charged)
		}
	}
}

func gaugeValue(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// readyReplicas counts the ready replicas of the own data centre.
func (daemon *Daemon) readyReplicas() int64 {
	ready := int64(0)
	for _, observed := range daemon.fleet.Entries() {
		if observed.Member.DataCentre != daemon.settings.DataCentre {
			continue
		}
		for _, replica := range observed.State.Replicas {
			if replica.Phase == upstream.Ready {
				ready++
			}
		}
	}
	return ready
}
