package front

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

// holdLease acquires the lease whenever it is free and then greets other daemons at once. When the daemon
// shuts down, it releases the lease and waits for the end of the context.
func (daemon *Daemon) holdLease(ctx context.Context) error {
	held := false
	for ctx.Err() == nil {
		if daemon.stopping.Load() {
			daemon.releaseLease(ctx)
			<-ctx.Done()
			return ctx.Err()
		}
		if daemon.cedesLease(ctx) {
			held = false
			daemon.waitOrSleep(ctx, daemon.stopStarted, leaseRenewal)
			continue
		}
		if daemon.holderResponds() {
			daemon.waitOrSleep(ctx, daemon.stopStarted, leaseRenewal)
			continue
		}
		// A failed step changes nothing; the table watchers log that the store does not answer.
		_ = daemon.lease.Step(ctx)
		_, _, now := daemon.lease.Held()
		if now != held {
			held = now
			daemon.scheduler.Wake()
			daemon.mesh.GreetAll(ctx)
		}
		daemon.waitOrSleep(ctx, daemon.stopStarted, daemon.lease.StepInterval())
	}
	return ctx.Err()
}

// cutOffBeforeCeding is how long a daemon reaches no replica before it gives up the lease.
const cutOffBeforeCeding = time.Second

// cedesLease reports whether this daemon must not hold the lease, since it reaches no engine and others do, and releases the
// lease if it does.
func (daemon *Daemon) cedesLease(ctx context.Context) bool {
	since, cutOff := daemon.paths.IsCutOff()
	if !cutOff || daemon.clock.Since(since) < cutOffBeforeCeding || len(daemon.lender.choose()) == 0 {
		return false
	}
	if _, owned := daemon.lease.Owned(); owned {
		event.LeaseCeded.Log("Daemon", daemon.settings.Name)
		daemon.releaseLease(ctx)
	}
	return true
}

// releaseLease releases the lease and notifies other daemons.
func (daemon *Daemon) releaseLease(ctx context.Context) {
	if err := daemon.lease.Release(ctx); err != nil {
		event.StoreLost.LogError(err, "Call", "ReleaseLease")
	}
	daemon.mesh.GreetAll(ctx)
}

const (
	// holderTimeout is the time without a response of the lease holder after which every daemon checks
	// whether the lease expired.
	holderTimeout = 1500 * time.Millisecond
	// leaseWatchers is the number of daemons, the first by name, that always check.
	leaseWatchers = 2
)

// holderResponds reports whether another daemon holds the lease and responds, so that this one need not check
// the lease.
func (daemon *Daemon) holderResponds() bool {
	if _, owned := daemon.lease.Owned(); owned || daemon.rank() < leaseWatchers {
		return false
	}
	return daemon.clock.Since(daemon.directory.HolderLastSeen()) < holderTimeout
}

const (
	// housekeepingInterval is the interval between two steps of housekeeping.
	housekeepingInterval = 500 * time.Millisecond
	// pruneEvery is the number of steps between two removals of the state of deleted replicas.
	pruneEvery = 10
)

// runHousekeeping closes expired connections, updates the role of this daemon and its metrics, drops the
// state of deleted replicas and divides the retry budget among the daemons.
func (daemon *Daemon) runHousekeeping(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	var daemons recentPeak
	var limits []ratelimit.Entry
	var paces map[topology.Incarnation]pace.Value
	priorities := map[int]bool{}
	step := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		daemon.pool.CloseExpired()
		live := daemon.mesh.Live()
		daemon.daemonIndex.Store(int64(daemon.rankAmong(live)))
		daemon.daemonCount.Store(int64(len(live) + 1))
		daemon.brittle.SetDaemons(len(live) + 1)
		daemon.pool.SetClients(len(live) + 1)
		daemon.updateReaderRole()
		daemon.logDroppedLines()
		if step++; step%pruneEvery == 0 {
			daemon.pruneReplicas(daemon.roster.Entries())
		}
		daemon.updateMetrics(daemon.clock.Now())
		daemon.updateCapacityMetrics(priorities)
		daemon.updateProtocolMetrics(live)
		daemon.observeMembers(live)
		limits = daemon.updateLimitMetrics(daemon.clock.Now(), limits)
		daemon.updateQuotaMetrics(daemon.clock.Now())
		paces = daemon.updatePaces(daemon.clock.Now(), paces)
		if daemon.clock.Since(daemon.directory.HolderLastSeen()) > holderTimeout {
			daemon.balancer.SetRemoteInFlight(daemon.mesh.InFlightByReplica())
			daemon.relay.CapacityChanged()
		}
		daemons.observe(len(live)+1, daemon.clock.Now())
		daemon.relay.LimitRetries(retryBudgetLimit(daemon.settings, daemons.value))
	}
}

// pruneReplicas drops the state of replicas that are not among the entries.
func (daemon *Daemon) pruneReplicas(entries []roster.Entry) {
	live := make(map[topology.Incarnation]bool, len(entries))
	for index := range entries {
		live[entries[index].Replica.Incarnation] = true
	}
	daemon.balancer.Prune(live)
	daemon.keepPaths(entries)
	daemon.brittle.Keep(live)
	now := daemon.clock.Now()
	daemon.notices.Prune(live, now.Add(-noticeRetention), now)
	daemon.limits.Prune(live, now.Add(-noticeRetention), now)
	daemon.allocator.Prune(now.Add(-noticeRetention))
}

// settingsInterval is the interval of checking whether the settings file changed.
const settingsInterval = 2 * time.Second

// watchSettings reads the settings file again when reload receives a value or the content changed.
func (daemon *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) error {
	if daemon.settingsFile == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := daemon.clock.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(daemon.settingsFile)
	for {
		requested := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		case <-reload:
			requested = true
		}
		content, err := os.ReadFile(daemon.settingsFile)
		if err != nil {
			event.SettingsRefused.LogError(err, "File", daemon.settingsFile)
			continue
		}
		if !requested && bytes.Equal(content, last) {
			continue
		}
		last = content
		daemon.reload(content)
	}
}

// reload applies new settings if they are valid. Only the seeds change; other settings keep their values
// until the next start.
func (daemon *Daemon) reload(content []byte) {
	settings, err := parseOpen(daemon.settingsFile, content)
	if err != nil {
		event.SettingsRefused.LogError(err, "File", daemon.settingsFile)
		return
	}
	daemon.mesh.AddSeeds(settings.Seeds)
	event.FrontReloaded.Log("File", daemon.settingsFile, "Seeds", len(settings.Seeds))
}

// logDroppedLines logs the number of log lines dropped since the last call.
func (daemon *Daemon) logDroppedLines() {
	if daemon.droppedLines == nil {
		return
	}
	if count := daemon.droppedLines(); count > 0 {
		event.LogLinesDropped.Log("Lines", count)
	}
}

// peakWindow is how long the largest number of daemons is kept.
const peakWindow = 30 * time.Second

// recentPeak is the largest number of daemons seen within peakWindow. Retries are divided by it, so that
// daemons that are disconnected from each other do not each use the whole shared budget.
type recentPeak struct {
	value int
	at    time.Time
}

// observe records the number of daemons at the time.
func (peak *recentPeak) observe(value int, now time.Time) {
	if value >= peak.value || now.Sub(peak.at) > peakWindow {
		peak.value = value
		peak.at = now
	}
}
