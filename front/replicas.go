package front

import (
	"cmp"
	"context"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/roster"
)

const (
	// replicaWait is the longest time that the store delays its response if no replica changes. replicaPause
	// is the pause between two calls. A leaving replica is detected within this pause, which is shorter than
	// the time for which the replica still serves.
	replicaWait  = time.Second
	replicaPause = 800 * time.Millisecond
	// expiryCheckInterval is the interval of checking for replicas whose grace period has ended.
	expiryCheckInterval = 200 * time.Millisecond
)

// watchReplicas keeps the replica table up to date.
func (daemon *Daemon) watchReplicas(ctx context.Context) error {
	watcher := &tableWatcher{
		daemon:     daemon,
		table:      platform.ReplicaTable,
		wait:       replicaWait,
		pause:      replicaPause,
		onResponse: func(time.Time) { daemon.replicasResponded() },
		onRecovery: func() { daemon.roster.EndOutage(daemon.clock.Now()) },
		onSnapshot: func(rows []datastore.Row, version datastore.Version) {
			daemon.replaceReplicas(daemon.decodeEntries(rows), version)
		},
		onChanges: func(changes []platform.Change, version datastore.Version) {
			notify := false
			for _, change := range changes {
				notify = daemon.applyChange(change, version) || notify
			}
			daemon.roster.Advance(version)
			if notify {
				daemon.updates.notify()
			}
			if len(changes) > 0 {
				daemon.requestApply()
			}
		},
	}
	return watcher.run(ctx)
}

// applyChange applies one change out of those up to the version. It reports whether other daemons need to be
// notified.
func (daemon *Daemon) applyChange(change platform.Change, version datastore.Version) bool {
	if change.Deleted {
		daemon.removeReplica(change.Row.Row, cmp.Or(change.Version, version))
		return true
	}
	entry, ok := daemon.decodeEntry(change.Row)
	if !ok {
		return false
	}
	if known, differs := daemon.roster.Outdated(entry); differs {
		event.RowIgnored.Log("Replica", entry.Replica.ID, "Version", entry.Version.String(), "Known", known.String(), "Draining", entry.Replica.Draining)
	}
	return daemon.roster.Put(entry)
}

// removeReplica applies the deletion of a row, which happened at the version.
func (daemon *Daemon) removeReplica(id string, version datastore.Version) {
	event.ReplicaGone.Log("Replica", id, "Version", version.String(), "Grace", daemon.roster.InGracePeriod(daemon.clock.Now()))
	daemon.doubtReleases(id)
	daemon.roster.Remove(id, version, daemon.clock.Now())
}

// replaceReplicas replaces the whole replica table with its state at the version. What came and went since a known one is not seen.
func (daemon *Daemon) replaceReplicas(entries []roster.Entry, version datastore.Version) {
	if _, loaded := daemon.roster.Version(); loaded {
		daemon.origins.MarkIncomplete()
	}
	if daemon.roster.Replace(entries, version, daemon.clock.Now()) {
		daemon.updates.notify()
	}
	daemon.requestApply()
}

// decodeEntries decodes rows of the replica table and skips those that cannot be decoded.
func (daemon *Daemon) decodeEntries(rows []datastore.Row) []roster.Entry {
	var entries []roster.Entry
	for _, row := range rows {
		if entry, ok := daemon.decodeEntry(row); ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

// decodeEntry decodes a row of the replica table and records its release. A row that cannot be decoded is logged and skipped.
func (daemon *Daemon) decodeEntry(row datastore.Row) (roster.Entry, bool) {
	replica, err := platform.DecodeReplica(row.Row, row.Value)
	if err != nil {
		event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version.String())
		return roster.Entry{}, false
	}
	replica.ReceivedAt = daemon.clock.Now()
	daemon.seeRelease(&replica)
	return roster.Entry{Replica: replica, Version: row.Version, Raw: row.Value}, true
}

// requestApply requests that the replica table is applied. It does not block.
func (daemon *Daemon) requestApply() {
	select {
	case daemon.replicasChanged <- struct{}{}:
	default:
	}
}

// applyReplicas applies the replica table whenever it changed or the grace period of a replica ended.
func (daemon *Daemon) applyReplicas(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	var last []roster.Entry
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
			if !daemon.roster.ExpireMissing(daemon.clock.Now()) {
				continue
			}
		case <-daemon.replicasChanged:
		}
		last = daemon.apply(last)
	}
}

// apply passes the usable replicas to the directory and the scheduler, processes the changes since the last
// entries, and returns the current ones.
func (daemon *Daemon) apply(last []roster.Entry) []roster.Entry {
	entries := daemon.roster.Entries()
	usable := daemon.usable(entries)
	wasReady := daemon.isInformed()
	daemon.observeReleases(entries)
	daemon.directory.SetReplicas(usable)
	daemon.balancer.SetReplicas(usable, daemon.clock.Now())
	// Once the directory no longer lists the last replica of a release, no stream begins there because its release seems to stay.
	logShifts(daemon.rollouts.Observe(usable, daemon.clock.Now()))
	if configuration := daemon.relay.Configuration(); configuration != nil {
		daemon.scheduler.Update(configuration, usable)
	}
	if !wasReady && daemon.isInformed() {
		event.FrontReady.Log("Daemon", daemon.settings.Name, "Replicas", len(usable))
	}
	daemon.processChanges(last, entries)
	return entries
}

// processChanges logs replicas that are new or changed, and counts incarnations that ended. Both lists must
// be ordered by identifier.
func (daemon *Daemon) processChanges(before, after []roster.Entry) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].Replica.ID < after[0].Replica.ID):
			daemon.countReplicaEnd(&before[0].Replica)
			before = before[1:]
		case len(before) == 0 || before[0].Replica.ID > after[0].Replica.ID:
			logReplica(&after[0])
			after = after[1:]
		default:
			daemon.processChange(&before[0], &after[0])
			before, after = before[1:], after[1:]
		}
	}
}

// processChange logs or counts the change of one replica.
func (daemon *Daemon) processChange(before, after *roster.Entry) {
	if before.Version == after.Version {
		return
	}
	old, now := &before.Replica, &after.Replica
	if old.Incarnation != now.Incarnation {
		daemon.countReplicaEnd(old)
	}
	if old.Incarnation != now.Incarnation || old.Address != now.Address || old.Draining != now.Draining {
		logReplica(after)
	}
}

// logReplica logs the state of a replica.
func logReplica(entry *roster.Entry) {
	replica := &entry.Replica
	event.ReplicaTaken.Log("Replica", replica.ID, "Born", replica.Started, "Service", replica.Service, "Address", replica.Address,
		"Zone", replica.Zone, "Release", replica.Release, "Draining", replica.Draining, "Version", entry.Version.String())
}
