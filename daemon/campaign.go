package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/bronzestall/bronzestall/decider"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/peer"
)

const (
	// campaignEvery is the interval at which a candidacy is looked at.
	campaignEvery = time.Second
	// foreignCandidates is the number of daemons that stand in for a data centre without a live daemon.
	foreignCandidates = 2
	// demandLasts is how long a report of demand counts at the decider.
	demandLasts = 3 * time.Second
)

// campaign keeps this daemon a candidate for the data centre while it should be one: always for its own,
// and for another while that has no live daemon.
func (daemon *Daemon) campaign(ctx context.Context, candidate *candidate) error {
	for ctx.Err() == nil {
		if daemon.shouldCampaign(candidate.dataCentre) {
			daemon.candidacy(ctx, candidate)
		}
		select {
		case <-daemon.clock.After(campaignEvery):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// shouldCampaign reports whether this daemon is to be a candidate. It is none before it knows the state
// in force, since it would take every replica for withdrawn, and before it is listed or the list is late.
func (daemon *Daemon) shouldCampaign(dataCentre string) bool {
	if _, _, known := daemon.catalogue(); !known {
		return false
	}
	if daemon.incarnation() == "" && daemon.clock.Since(daemon.started) < daemon.settings.Lease.Term {
		return false
	}
	if dataCentre == daemon.settings.DataCentre {
		return true
	}
	if daemon.clock.Since(daemon.started) < remoteLive || len(daemon.liveIn(dataCentre)) > 0 {
		return false
	}
	for _, name := range peer.Assigned(dataCentre, daemon.allLive(), foreignCandidates) {
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

// candidacy runs a decider until ctx ends or the data centre has a daemon of its own that took the lease back.
func (daemon *Daemon) candidacy(ctx context.Context, candidate *candidate) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	held := daemon.newLease(candidate.dataCentre)
	candidate.take(held, daemon.newDecider(candidate, held))
	defer candidate.leave()
	if candidate.dataCentre != daemon.settings.DataCentre {
		go daemon.handBack(ctx, cancel, candidate.dataCentre, held)
	}
	_, decides := candidate.parts()
	_ = decides.Run(ctx, releaseGrace)
}

// handBack ends a foreign candidacy once the data centre has a live daemon and the lease is not owned here.
func (daemon *Daemon) handBack(ctx context.Context, cancel context.CancelFunc, dataCentre string, held *lease.Lease) {
	_ = every(ctx, daemon.clock, campaignEvery, func(context.Context) {
		_, owned := held.Owned()
		if !owned && len(daemon.liveIn(dataCentre)) > 0 {
			cancel()
		}
	})
}

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

// rank returns the place of this daemon among the live ones of its data centre.
func (daemon *Daemon) rank(dataCentre string) int {
	if dataCentre != daemon.settings.DataCentre {
		return foreignCandidates
	}
	for place, name := range daemon.node.Live() {
		if name == daemon.settings.Name {
			return place
		}
	}
	return 0
}

func (daemon *Daemon) newDecider(candidate *candidate, held *lease.Lease) *decider.Decider {
	cache := &modelCache{state: daemon.catalogue}
	return decider.New(decider.Deps{
		Tables:     daemon.platform,
		VMs:        daemon.platform,
		Lease:      held,
		Fleet:      engineViews{daemon.fleet, candidate.dataCentre},
		Engines:    daemon.pool,
		Catalogue:  cache.current,
		WarmPolicy: candidate.warmth,
		Clock:      daemon.clock,
		OnLoaded:   daemon.loads.loaded,
	}, decider.Settings{
		DataCentre:     candidate.dataCentre,
		Sender:         daemon.sender(candidate.dataCentre),
		DataCentres:    daemon.dataCentreNames(),
		LoadsPerSecond: daemon.settings.WeightStore.LoadsPerSecond,
		LoadsAtOnce:    daemon.settings.WeightStore.LoadsAtOnce,
		DemandTTL:      demandLasts,
	})
}

// sender identifies one candidacy of this process. A foreign data centre has a sender of its own,
// since its candidacies begin and end while the process lives.
func (daemon *Daemon) sender(dataCentre string) intent.Sender {
	sender := intent.Sender{VM: daemon.settings.Name, VMIncarnation: daemon.incarnation(), Process: daemon.process}
	if dataCentre != daemon.settings.DataCentre {
		sender.DataCentre = dataCentre
		sender.Process = daemon.process + "-" + strconv.FormatInt(daemon.clock.Now().UnixNano(), 10)
	}
	return sender
}

// incarnation returns the incarnation of the own VM in the VM list, or an empty one.
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
