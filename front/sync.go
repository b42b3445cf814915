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
	// reportInterval is the shortest interval of reports without a reason, and reportStep what each other
	// daemon adds to it, so that the holder of the lease is not flooded.
	reportInterval        = 250 * time.Millisecond
	reportIntervalPerPeer = 8 * time.Millisecond
	// reportPause is the pause after a report, in which further reasons are joined.
	reportPause = 8 * time.Millisecond
	// announcementWait is how long the holder of the lease may wait with an announcement.
	announcementWait = time.Second
	// noHolderPause is the pause after a call without a holder.
	noHolderPause = 100 * time.Millisecond
)

// requestReport asks for a report at once.
func (daemon *Daemon) requestReport() {
	select {
	case daemon.reportRequested <- struct{}{}:
	default:
	}
}

// sendReports tells the holder of the lease what requests want: everything at times, and at once what changed
// when a request begins to wait.
func (daemon *Daemon) sendReports(ctx context.Context) error {
	var last time.Time
	waiting := map[demand.Key]int{}
	for {
		every := reportInterval + reportIntervalPerPeer*time.Duration(daemon.mesh.LiveCount())
		due := last.Add(every).Sub(daemon.clock.Now())
		timer := daemon.clock.NewTimer(max(due, 0))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		case <-daemon.reportRequested:
			timer.Stop()
		}
		now := daemon.clock.Now()
		report := mesh.Report{Name: daemon.settings.Name, Partial: now.Sub(last) < every}
		report.Demand, report.InFlight = daemon.demand.Report(now)
		if report.Partial {
			report.Demand, report.InFlight = changedWants(report.Demand, waiting), nil
		} else {
			last = now
		}
		report.Fence, report.Revision = daemon.directory.Version()
		if daemon.sync(ctx, report) {
			for _, want := range report.Demand {
				waiting[want.Key] = want.Waiting
			}
		}
		daemon.sleep(ctx, reportPause)
	}
}

// changedWants returns the wants for which another number of requests waits than was reported.
func changedWants(wants []demand.Want, reported map[demand.Key]int) []demand.Want {
	var changed []demand.Want
	for _, want := range wants {
		if want.Waiting != reported[want.Key] {
			changed = append(changed, want)
		}
	}
	return changed
}

// pollAnnouncements waits for announcements of the holder of the lease.
func (daemon *Daemon) pollAnnouncements(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, revision := daemon.directory.Version()
		ask := mesh.Report{Name: daemon.settings.Name, Fence: fence, Revision: revision, Wait: announcementWait, PollOnly: true}
		if !daemon.sync(ctx, ask) {
			daemon.sleep(ctx, noHolderPause)
		}
	}
	return ctx.Err()
}

// sync sends the report to the holder of the lease and takes its announcement. It reports whether there was one.
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
		daemon.balancer.SetOthers(announcement.InFlight)
	}
	if announcement.Revision > 0 {
		daemon.directory.Apply(announcement)
	}
}

// peerUpdateInterval is the interval of looking whether another daemon knows more.
const peerUpdateInterval = 200 * time.Millisecond

// fetchPeerUpdates gets from other daemons what the store does not give to this one.
func (daemon *Daemon) fetchPeerUpdates(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(peerUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		if peer, ok := daemon.mostInformedPeer(); ok {
			daemon.fetchUpdate(ctx, peer)
		}
	}
}

// mostInformedPeer returns the daemon that knows most of what this one lacks.
func (daemon *Daemon) mostInformedPeer() (mesh.Peer, bool) {
	own := daemon.state()
	stale := daemon.dataAge() > maxStoreAge || own.ConfigurationVersion == 0 || daemon.isStoreLost()
	var best mesh.Peer
	found := false
	for _, peer := range daemon.mesh.Live() {
		more := peer.ConfigurationVersion > own.ConfigurationVersion || (stale && peer.RosterVersion > own.RosterVersion)
		if more && (!found || peer.RosterVersion > best.RosterVersion) {
			best, found = peer, true
		}
	}
	return best, found
}

func (daemon *Daemon) fetchUpdate(ctx context.Context, peer mesh.Peer) {
	own := daemon.state()
	answer, err := daemon.mesh.FetchUpdate(ctx, peer.Address, mesh.UpdateRequest{ConfigurationVersion: own.ConfigurationVersion, RosterVersion: own.RosterVersion})
	if err != nil {
		return
	}
	event.PeerAnswered.Log("Daemon", peer.Name, "Configuration", len(answer.Configuration) > 0, "Roster", answer.RosterVersion,
		"Rows", len(answer.Rows), "StoreAge", own.StoreAge)
	daemon.applyUpdate(answer, peer.Name)
}
