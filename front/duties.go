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
		if daemon.holderAnswers() {
			daemon.await(ctx, daemon.stopBegun, leaseRenewal)
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
		daemon.await(ctx, daemon.stopBegun, daemon.lease.Pause())
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
	// holderSilence is the time without an answer of the holder of the lease from which all daemons look
	// whether it lapsed.
	holderSilence = 1500 * time.Millisecond
	// watchers is the number of daemons that always look.
	watchers = 2
)

// holderAnswers reports whether another daemon holds the lease and answers, so that this one need not look.
func (daemon *Daemon) holderAnswers() bool {
	if _, owned := daemon.lease.Owned(); owned || daemon.rank() < watchers {
		return false
	}
	return daemon.clock.Since(daemon.directory.Heard()) < holderSilence
}

const (
	// houseEvery is the interval of housekeeping.
	houseEvery = 500 * time.Millisecond
	// forgetSteps is the number of its steps between two looks for replicas that are gone.
	forgetSteps = 10
)

// keepHouse closes expired connections, forgets replicas that are gone and shares out second sendings.
func (daemon *Daemon) keepHouse(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(houseEvery)
	defer ticker.Stop()
	var most peak
	step := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		daemon.pool.CloseExpired()
		daemon.seat.Store(int64(daemon.rank()))
		daemon.chooseReaders()
		daemon.reportDropped()
		if step++; step%forgetSteps == 0 {
			daemon.forgetReplicas(daemon.roster.Entries())
		}
		daemon.measureReplicas(daemon.clock.Now())
		if daemon.clock.Since(daemon.directory.Heard()) > holderSilence {
			daemon.balancer.SetRemoteInFlight(daemon.mesh.Running())
		}
		most.observe(daemon.mesh.Count()+1, daemon.clock.Now())
		daemon.relay.LimitRetries(retryMost(daemon.settings, most.value))
	}
}

// forgetReplicas drops what is known of replicas that are not among the entries.
func (daemon *Daemon) forgetReplicas(entries []roster.Entry) {
	live := make(map[topology.Incarnation]bool, len(entries))
	for index := range entries {
		live[entries[index].Replica.Incarnation] = true
	}
	daemon.balancer.Prune(live)
	now := daemon.clock.Now()
	daemon.notices.Prune(live, now.Add(-noticeLife), now)
}

// settingsEvery is the interval of looking whether the settings file changed.
const settingsEvery = 2 * time.Second

// watchSettings reads the settings file again when asked to or when its content changed.
func (daemon *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) error {
	if daemon.settingsFile == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := daemon.clock.NewTicker(settingsEvery)
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

// reportDropped logs how many log lines were dropped.
func (daemon *Daemon) reportDropped() {
	if daemon.droppedLines == nil {
		return
	}
	if count := daemon.droppedLines(); count > 0 {
		event.LogLinesDropped.Log("Lines", count)
	}
}

// peakLife is how long the largest number of daemons counts.
const peakLife = 30 * time.Second

// peak is the largest number of daemons of the last time, so that daemons which are cut off from each
// other do not each use the whole of what all share.
type peak struct {
	value int
	at    time.Time
}

// observe takes the number of daemons at the time.
func (peak *peak) observe(value int, now time.Time) {
	if value >= peak.value || now.Sub(peak.at) > peakLife {
		peak.value = value
		peak.at = now
	}
}
