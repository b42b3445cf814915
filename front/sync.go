package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
)

const (
	// reportInterval is the interval of full reports, and reportIntervalPerPeer the time that each other
	// daemon adds to it, so that the load on the lease holder stays bounded.
	reportInterval        = 250 * time.Millisecond
	reportIntervalPerPeer = 8 * time.Millisecond
	// reportPause is the pause after a report, so that further requests for a report are combined.
	reportPause = 8 * time.Millisecond
	// announcementWait is the longest time that the lease holder delays its response if nothing changed.
	announcementWait = time.Second
	// noHolderPause is the pause after a call that failed or had no lease holder to go to.
	noHolderPause = 100 * time.Millisecond
)

// requestReport requests a report at once. It does not block.
func (daemon *Daemon) requestReport() {
	select {
	case daemon.reportRequested <- struct{}{}:
	default:
	}
}

// sendReports reports demand to the lease holder: a full report at each interval, and a partial one at once
// when a request begins to wait for a model.
func (daemon *Daemon) sendReports(ctx context.Context) error {
	var last time.Time
	reported := map[demand.Key]int{}
	for {
		interval := reportInterval + reportIntervalPerPeer*time.Duration(daemon.mesh.LiveCount())
		remaining := last.Add(interval).Sub(daemon.clock.Now())
		timer := daemon.clock.NewTimer(max(remaining, 0))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		case <-daemon.reportRequested:
			timer.Stop()
		}
		now := daemon.clock.Now()
		report := mesh.Report{Name: daemon.settings.Name, Partial: now.Sub(last) < interval}
		report.Demand, report.InFlight = daemon.demand.Snapshot(now)
		if report.Partial {
			report.Demand, report.InFlight = changedDemand(report.Demand, reported), nil
		} else {
			last = now
			report.Paces = daemon.balancer.TakeObservations(now)
		}
		report.Fence, report.Revision = daemon.directory.Version()
		if daemon.sync(ctx, report) {
			for _, entry := range report.Demand {
				reported[entry.Key] = entry.Waiting
			}
		}
		daemon.sleep(ctx, reportPause)
	}
}

// changedDemand returns the entries whose number of waiting requests differs from the reported one.
func changedDemand(entries []demand.KeyDemand, reported map[demand.Key]int) []demand.KeyDemand {
	var changed []demand.KeyDemand
	for _, entry := range entries {
		if entry.Waiting != reported[entry.Key] {
			changed = append(changed, entry)
		}
	}
	return changed
}

// pollAnnouncements polls the lease holder for announcements.
func (daemon *Daemon) pollAnnouncements(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, revision := daemon.directory.Version()
		poll := mesh.Report{Name: daemon.settings.Name, Fence: fence, Revision: revision, Wait: announcementWait, PollOnly: true}
		if !daemon.sync(ctx, poll) {
			daemon.sleep(ctx, noHolderPause)
		}
	}
	return ctx.Err()
}

// sync sends the report to the lease holder and applies the announcement that it returns. It reports whether
// this succeeded.
func (daemon *Daemon) sync(ctx context.Context, report mesh.Report) bool {
	if _, _, held := daemon.lease.Held(); held {
		announcement, err := daemon.scheduler.Sync(ctx, report)
		if err == nil {
			daemon.applyAnnouncement(announcement)
		}
		return err == nil
	}
	holder, known := daemon.mesh.LeaseHolder()
	if !known {
		return false
	}
	announcement, err := daemon.mesh.Sync(ctx, holder.Address, report)
	if err != nil {
		return false
	}
	daemon.applyAnnouncement(announcement)
	return true
}

func (daemon *Daemon) applyAnnouncement(announcement directory.Announcement) {
	if announcement.InFlight != nil {
		daemon.balancer.SetRemoteInFlight(announcement.InFlight)
		daemon.relay.CapacityChanged()
	}
	if announcement.Paces != nil {
		daemon.balancer.SetPaces(announcement.Paces, daemon.clock.Now())
	}
	if announcement.Revision > 0 {
		daemon.directory.Apply(announcement)
	}
}

// peerUpdateInterval is the interval of checking whether another daemon has newer data.
const peerUpdateInterval = 200 * time.Millisecond

// fetchPeerUpdates fetches from other daemons the data that this daemon could not read from the store.
func (daemon *Daemon) fetchPeerUpdates(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(peerUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		daemon.learnEra()
		if peer, ok := daemon.peerToAsk(); ok {
			daemon.fetchUpdate(ctx, peer)
		}
	}
}

// learnEra takes over the era of the store from the daemons that have read its tables in a higher one.
func (daemon *Daemon) learnEra() {
	for _, peer := range daemon.mesh.Live() {
		daemon.eras.Learn(peer.RosterVersion.Era())
	}
}

// peerToAsk returns the daemon to ask for an update, and whether one is needed.
func (daemon *Daemon) peerToAsk() (mesh.Peer, bool) {
	if peer, ok := daemon.mostInformedPeer(); ok {
		return peer, true
	}
	if !daemon.needsConfirmation() {
		return mesh.Peer{}, false
	}
	return daemon.storePeer()
}

// mostInformedPeer returns the daemon with the newest replica table among those that have newer data than
// this one.
func (daemon *Daemon) mostInformedPeer() (mesh.Peer, bool) {
	own := daemon.state()
	stale := daemon.dataAge() > maxStoreAge || own.ConfigurationVersion == 0 || daemon.isStoreLost()
	var best mesh.Peer
	found := false
	for _, peer := range daemon.mesh.Live() {
		newer := peer.ConfigurationVersion > own.ConfigurationVersion || (stale && peer.RosterVersion > own.RosterVersion)
		if newer && (!found || peer.RosterVersion > best.RosterVersion) {
			best, found = peer, true
		}
	}
	return best, found
}

func (daemon *Daemon) fetchUpdate(ctx context.Context, peer mesh.Peer) {
	own := daemon.state()
	asked := daemon.clock.Now()
	response, err := daemon.mesh.FetchUpdate(ctx, peer.Address, mesh.UpdateRequest{ConfigurationVersion: own.ConfigurationVersion, RosterVersion: own.RosterVersion})
	if err != nil {
		return
	}
	event.PeerAnswered.Log("Daemon", peer.Name, "Configuration", len(response.Configuration) > 0, "Roster", response.RosterVersion,
		"Rows", len(response.Rows), "StoreAge", response.StoreAge)
	daemon.applyUpdate(response, peer.Name, asked)
}
