package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/bronzestall/bronzestall/decider"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/rendezvous"
)

const (
	// campaignInterval is the interval at which the daemon checks whether it should be a candidate.
	campaignInterval = time.Second
	// remoteCandidates is the number of daemons that are candidates for a data centre without a live daemon.
	remoteCandidates = 2
	// demandLifetime is how long the decider counts a demand report that is not renewed.
	demandLifetime = 3 * time.Second
)

// campaign runs the candidacies of this daemon for the data centre until ctx ends. The daemon is always a
// candidate for its own data centre, and for another one while that has no live daemon.
func (daemon *Daemon) campaign(ctx context.Context, candidate *candidate) error {
	for ctx.Err() == nil {
		if daemon.shouldCampaign(candidate.dataCentre) {
			daemon.runCandidacy(ctx, candidate)
		}
		select {
		case <-daemon.clock.After(campaignInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// shouldCampaign reports whether this daemon should be a candidate. It must know the catalogue in force
// first, since it would otherwise treat every replica as withdrawn. It must also be in the VM list, or
// have run for a lease term without being listed.
func (daemon *Daemon) shouldCampaign(dataCentre string) bool {
	if _, _, ok := daemon.catalogue(); !ok {
		return false
	}
	if daemon.incarnation() == "" && daemon.clock.Since(daemon.started) < daemon.settings.Lease.Term {
		return false
	}
	if dataCentre == daemon.settings.DataCentre {
		return true
	}
	if daemon.clock.Since(daemon.started) < remoteLiveAge || len(daemon.liveIn(dataCentre)) > 0 {
		return false
	}
	for _, name := range rendezvous.Choose(dataCentre, daemon.allLive(), remoteCandidates) {
		if name == daemon.settings.Name {
			return true
		}
	}
	return false
}

// allLive returns the live daemons of all data centres.
func (daemon *Daemon) allLive() []string {
	var live []string
	for _, dataCentre := range daemon.settings.DataCentres {
		live = append(live, daemon.liveIn(dataCentre.Name)...)
	}
	return live
}

// runCandidacy runs a decider until ctx ends, or until another data centre is decided by its own daemons again.
func (daemon *Daemon) runCandidacy(ctx context.Context, candidate *candidate) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deciderLease := daemon.newLease(candidate.dataCentre)
	candidate.set(deciderLease, daemon.newDecider(candidate, deciderLease))
	defer candidate.clear()
	if candidate.dataCentre != daemon.settings.DataCentre {
		go daemon.endRemoteCandidacy(ctx, cancel, candidate.dataCentre, deciderLease)
	}
	_, decider := candidate.current()
	_ = decider.Run(ctx, leaseReleaseTimeout)
}

// endRemoteCandidacy cancels a candidacy for another data centre once that has a live daemon and this daemon
// does not own the lease.
func (daemon *Daemon) endRemoteCandidacy(ctx context.Context, cancel context.CancelFunc, dataCentre string, deciderLease *lease.Lease) {
	_ = every(ctx, daemon.clock, campaignInterval, func(context.Context) {
		_, owned := deciderLease.Owned()
		if !owned && len(daemon.liveIn(dataCentre)) > 0 {
			cancel()
		}
	})
}

// newLease returns the lease of the decider of the data centre, with this process as the candidate holder.
func (daemon *Daemon) newLease(dataCentre string) *lease.Lease {
	holder := lease.Holder{
		Name:        daemon.settings.Name,
		Incarnation: daemon.process,
		DataCentre:  daemon.settings.DataCentre,
	}
	return lease.New(daemon.platform, lease.Settings{
		DataCentre: dataCentre,
		Term:       daemon.settings.Lease.Term,
		RenewEvery: daemon.settings.Lease.RenewEvery,
		Rank:       func() int { return daemon.rank(dataCentre) },
	}, daemon.clock, holder)
}

// rank returns the index of this daemon among the live ones of its data centre; candidates with a higher rank
// poll the lease less often. For another data centre it is remoteCandidates.
func (daemon *Daemon) rank(dataCentre string) int {
	if dataCentre != daemon.settings.DataCentre {
		return remoteCandidates
	}
	for index, name := range daemon.node.Live() {
		if name == daemon.settings.Name {
			return index
		}
	}
	return 0
}

func (daemon *Daemon) newDecider(candidate *candidate, deciderLease *lease.Lease) *decider.Decider {
	cache := &modelCache{state: daemon.catalogue}
	return decider.New(decider.Deps{
		Tables:     daemon.platform,
		VMs:        daemon.platform,
		Lease:      deciderLease,
		Fleet:      engineViews{daemon.fleet, candidate.dataCentre},
		Engines:    daemon.pool,
		Catalogue:  cache.current,
		WarmPolicy: candidate.keepWarm,
		Clock:      daemon.clock,
		OnLoaded:   daemon.loads.record,
	}, decider.Settings{
		DataCentre:     candidate.dataCentre,
		Sender:         daemon.sender(candidate.dataCentre),
		DataCentres:    daemon.dataCentreNames(),
		LoadsPerSecond: daemon.settings.WeightStore.LoadsPerSecond,
		LoadsAtOnce:    daemon.settings.WeightStore.LoadsAtOnce,
		DemandTTL:      demandLifetime,
	})
}

// sender identifies one candidacy of this process as the sender of orders. Candidacies for another data
// centre get a new identity each, since several can begin and end within one process.
func (daemon *Daemon) sender(dataCentre string) intent.Sender {
	sender := intent.Sender{VM: daemon.settings.Name, VMIncarnation: daemon.incarnation(), Process: daemon.process}
	if dataCentre != daemon.settings.DataCentre {
		sender.DataCentre = dataCentre
		sender.Process = daemon.process + "-" + strconv.FormatInt(daemon.clock.Now().UnixNano(), 10)
	}
	return sender
}

// incarnation returns the incarnation of the own VM in the VM list, or an empty string if it is not listed.
func (daemon *Daemon) incarnation() string {
	for _, vm := range daemon.members.all() {
		if vm.Name == daemon.settings.Name {
			return vm.Incarnation
		}
	}
	return ""
}

func (daemon *Daemon) dataCentreNames() []string {
	names := make([]string, 0, len(daemon.settings.DataCentres))
	for _, dataCentre := range daemon.settings.DataCentres {
		names = append(names, dataCentre.Name)
	}
	return names
}
