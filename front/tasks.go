package front

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

// holdLease takes the lease whenever it can, and tells other daemons at once. It gives the lease up when the
// daemon stops, and then does no more.
func (daemon *Daemon) holdLease(ctx context.Context) error {
	held := false
	for ctx.Err() == nil {
		if daemon.stopping.Load() {
			daemon.releaseLease(ctx)
			<-ctx.Done()
			return ctx.Err()
		}
		if daemon.holderResponds() {
			daemon.waitOrSleep(ctx, daemon.stopStarted, leaseRenewal)
			continue
		}
		// A failed step changes nothing; the follower of a table logs that the store is away.
		_ = daemon.lease.Step(ctx)
		_, _, now := daemon.lease.Held()
		if now != held {
			held = now
			daemon.scheduler.Wake()
			daemon.mesh.GreetAll(ctx)
		}
		daemon.waitOrSleep(ctx, daemon.stopStarted, daemon.lease.Pause())
	}
	return ctx.Err()
}

// releaseLease gives the lease up and tells other daemons.
func (daemon *Daemon) releaseLease(ctx context.Context) {
	if err := daemon.lease.Release(ctx); err != nil {
		event.StoreLost.LogError(err, "Call", "ReleaseLease")
	}
	daemon.mesh.GreetAll(ctx)
}

const (
	// holderTimeout is the time without an answer of the holder of the lease from which all daemons look
	// whether it lapsed.
	holderTimeout = 1500 * time.Millisecond
	// leaseWatchers is the number of daemons that always look.
	leaseWatchers = 2
)

// holderResponds reports whether another daemon holds the lease and answers, so that this one need not look.
func (daemon *Daemon) holderResponds() bool {
	if _, owned := daemon.lease.Owned(); owned || daemon.rank() < leaseWatchers {
		return false
	}
	return daemon.clock.Since(daemon.directory.HolderLastSeen()) < holderTimeout
}

const (
	// housekeepingInterval is the interval of housekeeping.
	housekeepingInterval = 500 * time.Millisecond
	// pruneEvery is the number of its steps between two looks for replicas that are gone.
	pruneEvery = 10
)

// runHousekeeping closes expired connections, forgets replicas that are gone and shares out second sendings.
func (daemon *Daemon) runHousekeeping(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	var most recentPeak
	step := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		daemon.pool.Sweep()
		daemon.daemonIndex.Store(int64(daemon.rank()))
		daemon.updateReaderRole()
		daemon.logDroppedLines()
		if step++; step%pruneEvery == 0 {
			daemon.pruneReplicas(daemon.roster.Entries())
		}
		daemon.updateMetrics(daemon.clock.Now())
		if daemon.clock.Since(daemon.directory.HolderLastSeen()) > holderTimeout {
			daemon.balancer.SetOthers(daemon.mesh.InFlightByReplica())
		}
		most.observe(daemon.mesh.LiveCount()+1, daemon.clock.Now())
		daemon.relay.LimitRetries(retryBudgetLimit(daemon.settings, most.value))
	}
}

// pruneReplicas drops what is known of replicas that are not among the entries.
func (daemon *Daemon) pruneReplicas(entries []roster.Entry) {
	live := make(map[topology.Incarnation]bool, len(entries))
	for index := range entries {
		live[entries[index].Replica.Incarnation] = true
	}
	daemon.balancer.Forget(live)
	now := daemon.clock.Now()
	daemon.notices.Forget(live, now.Add(-noticeRetention), now)
}

// settingsInterval is the interval of looking whether the settings file changed.
const settingsInterval = 2 * time.Second

// watchSettings reads the settings file again when asked to or when its content changed.
func (daemon *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) error {
	if daemon.settingsFile == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := daemon.clock.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(daemon.settingsFile)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		case <-reload:
			asked = true
		}
		content, err := os.ReadFile(daemon.settingsFile)
		if err != nil {
			event.SettingsRefused.LogError(err, "File", daemon.settingsFile)
			continue
		}
		if !asked && bytes.Equal(content, last) {
			continue
		}
		last = content
		daemon.reload(content)
	}
}

// reload takes new settings if they are valid. What the daemon listens on stays as it was started.
func (daemon *Daemon) reload(content []byte) {
	settings, err := Parse(daemon.settingsFile, content)
	if err != nil {
		event.SettingsRefused.LogError(err, "File", daemon.settingsFile)
		return
	}
	daemon.mesh.AddSeeds(settings.Seeds)
	event.FrontReloaded.Log("File", daemon.settingsFile, "Seeds", len(settings.Seeds))
}

// logDroppedLines logs how many log lines were dropped.
func (daemon *Daemon) logDroppedLines() {
	if daemon.droppedLines == nil {
		return
	}
	if count := daemon.droppedLines(); count > 0 {
		event.LogLinesDropped.Log("Lines", count)
	}
}

// peakWindow is how long the largest number of daemons counts.
const peakWindow = 30 * time.Second

// recentPeak is the largest number of daemons of the last time, so that daemons which are cut off from each
// other do not each use the whole of what all share.
type recentPeak struct {
	value int
	at    time.Time
}

// observe takes the number of daemons at the time.
func (peak *recentPeak) observe(value int, now time.Time) {
	if value >= peak.value || now.Sub(peak.at) > peakWindow {
		peak.value = value
		peak.at = now
	}
}
