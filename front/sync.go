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
	// reportEvery is the shortest interval of reports without a reason, and reportStep what each other
	// daemon adds to it, so that the holder of the lease is not flooded.
	reportEvery = 250 * time.Millisecond
	reportStep  = 8 * time.Millisecond
	// reportGap is the pause after a report, in which further reasons are joined.
	reportGap = 8 * time.Millisecond
	// announceWait is how long the holder of the lease may wait with an announcement.
	announceWait = time.Second
	// noHolderPause is the pause after a call without a holder.
	noHolderPause = 100 * time.Millisecond
)

// poke asks for a report at once.
func (daemon *Daemon) poke() {
	select {
	case daemon.poked <- struct{}{}:
	default:
	}
}

// report tells the holder of the lease what requests want: everything at times, and at once what changed
// when a request begins to wait.
func (daemon *Daemon) report(ctx context.Context) error {
	var last time.Time
	waiting := map[demand.Key]int{}
	for {
		every := reportEvery + reportStep*time.Duration(daemon.mesh.Count())
		due := last.Add(every).Sub(daemon.clock.Now())
		timer := daemon.clock.NewTimer(max(due, 0))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C():
		case <-daemon.poked:
			timer.Stop()
		}
		now := daemon.clock.Now()
		report := mesh.Report{Name: daemon.settings.Name, Partial: now.Sub(last) < every}
		report.Wants, report.Loads = daemon.demand.Snapshot(now)
		if report.Partial {
			report.Wants, report.Loads = changedWants(report.Wants, waiting), nil
		} else {
			last = now
		}
		report.Fence, report.Revision = daemon.directory.Announced()
		if daemon.sync(ctx, report) {
			for _, want := range report.Wants {
				waiting[want.Key] = want.Waiting
			}
		}
		daemon.sleep(ctx, reportGap)
	}
}

// changedWants returns the wants for which another number of requests waits than was reported.
func changedWants(wants []demand.KeyDemand, reported map[demand.Key]int) []demand.KeyDemand {
	var changed []demand.KeyDemand
	for _, want := range wants {
		if want.Waiting != reported[want.Key] {
			changed = append(changed, want)
		}
	}
	return changed
}

// hearAnnouncements waits for announcements of the holder of the lease.
func (daemon *Daemon) hearAnnouncements(ctx context.Context) error {
	for ctx.Err() == nil {
		fence, revision := daemon.directory.Announced()
		ask := mesh.Report{Name: daemon.settings.Name, Fence: fence, Revision: revision, Wait: announceWait, OnlyAsk: true}
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
			daemon.take(announcement)
		}
		return err == nil
	}
	holder, known := daemon.mesh.Holder()
	if !known {
		return false
	}
	announcement, err := daemon.mesh.Sync(ctx, holder.Address, report)
	if err != nil {
		return false
	}
	daemon.take(announcement)
	return true
}

func (daemon *Daemon) take(announcement directory.Announcement) {
	if announcement.Running != nil {
		daemon.balancer.SetOthers(announcement.Running)
	}
	if announcement.Revision > 0 {
		daemon.directory.Announce(announcement)
	}
}

// askEvery is the interval of looking whether another daemon knows more.
const askEvery = 200 * time.Millisecond

// askPeers gets from other daemons what the store does not give to this one.
func (daemon *Daemon) askPeers(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		if peer, ok := daemon.informed(); ok {
			daemon.ask(ctx, peer)
		}
	}
}

// informed returns the daemon that knows most of what this one lacks.
func (daemon *Daemon) informed() (mesh.Known, bool) {
	own := daemon.state()
	stale := daemon.knowledgeAge() > staleStore || own.Configuration == 0 || daemon.isStoreLost()
	var best mesh.Known
	found := false
	for _, peer := range daemon.mesh.Live() {
		more := peer.Configuration > own.Configuration || (stale && peer.Roster > own.Roster)
		if more && (!found || peer.Roster > best.Roster) {
			best, found = peer, true
		}
	}
	return best, found
}

func (daemon *Daemon) ask(ctx context.Context, peer mesh.Known) {
	own := daemon.state()
	answer, err := daemon.mesh.Ask(ctx, peer.Address, mesh.Question{Configuration: own.Configuration, Roster: own.Roster})
	if err != nil {
		return
	}
	event.PeerAnswered.Log("Daemon", peer.Name, "Configuration", len(answer.Configuration) > 0, "Roster", answer.Roster,
		"Rows", len(answer.Rows), "StoreAge", own.StoreAge)
	daemon.takeAnswer(answer, peer.Name)
}
