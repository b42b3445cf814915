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
	// replicaWait is how long the store may wait with an answer if no replica changes. replicaGap is the pause between two
	// calls; a replica that leaves is known within it, in less than the time for which it still serves.
	replicaWait = time.Second
	replicaGap  = 800 * time.Millisecond
	// settleEvery is the interval of looking for replicas whose grace time is over.
	settleEvery = 200 * time.Millisecond
)

// followReplicas keeps the table of replicas.
func (daemon *Daemon) followReplicas(ctx context.Context) error {
	table := &follower{
		daemon:   daemon,
		table:    platform.ReplicaTable,
		wait:     replicaWait,
		gap:      replicaGap,
		regained: func() { daemon.roster.Regain(daemon.clock.Now()) },
		whole: func(rows []datastore.Row, version uint64) {
			daemon.replaceReplicas(daemon.entries(rows), version)
		},
		changed: func(changes []platform.Change, version uint64) {
			told := false
			for _, change := range changes {
				told = daemon.takeReplica(change, version) || told
			}
			daemon.roster.Advance(version)
			if told {
				daemon.news.tell()
			}
			if len(changes) > 0 {
				daemon.applySoon()
			}
		},
	}
	return table.run(ctx)
}

// takeReplica applies one change of the replica table, of those up to the version. It reports whether other daemons
// need to know it.
func (daemon *Daemon) takeReplica(change platform.Change, version uint64) bool {
	if change.Dropped {
		daemon.dropReplica(change.Row.Row, cmp.Or(change.Version, version))
		return true
	}
	entry, ok := daemon.entry(change.Row)
	return ok && daemon.roster.Put(entry)
}

// dropReplica applies the removal of a row by the change of the version.
func (daemon *Daemon) dropReplica(id string, version uint64) {
	event.ReplicaGone.Log("Replica", id, "Version", version, "Grace", daemon.roster.Lenient(daemon.clock.Now()))
	daemon.roster.Drop(id, version, daemon.clock.Now())
}

// replaceReplicas takes the whole replica table as of the version.
func (daemon *Daemon) replaceReplicas(entries []roster.Entry, version uint64) {
	if daemon.roster.Replace(entries, version, daemon.clock.Now()) {
		daemon.news.tell()
	}
	daemon.applySoon()
}

// entries decodes rows of the replica table.
func (daemon *Daemon) entries(rows []datastore.Row) []roster.Entry {
	var entries []roster.Entry
	for _, row := range rows {
		if entry, ok := daemon.entry(row); ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

// entry decodes a row of the replica table. A row that cannot be decoded is logged and skipped.
func (daemon *Daemon) entry(row datastore.Row) (roster.Entry, bool) {
	replica, err := platform.Replica(row.Row, row.Value)
	if err != nil {
		event.RowSkipped.LogError(err, "Table", row.Table, "Row", row.Row, "Version", row.Version)
		return roster.Entry{}, false
	}
	replica.ReceivedAt = daemon.clock.Now()
	return roster.Entry{Replica: replica, Version: row.Version, Raw: row.Value}, true
}

// applySoon asks to apply the replica table.
func (daemon *Daemon) applySoon() {
	select {
	case daemon.replicasChanged <- struct{}{}:
	default:
	}
}

// applyReplicas passes the usable replicas on whenever the table changed.
func (daemon *Daemon) applyReplicas(ctx context.Context) error {
	ticker := daemon.clock.NewTicker(settleEvery)
	defer ticker.Stop()
	var last []roster.Entry
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
			if !daemon.roster.Settle(daemon.clock.Now()) {
				continue
			}
		case <-daemon.replicasChanged:
		}
		last = daemon.apply(last)
	}
}

// apply passes the usable replicas on, notes what changed since the entries of the last time, and returns those of now.
func (daemon *Daemon) apply(last []roster.Entry) []roster.Entry {
	entries := daemon.roster.Entries()
	usable := daemon.usable(entries)
	wasReady := daemon.isReady()
	daemon.directory.SetReplicas(usable)
	if configuration := daemon.relay.Configuration(); configuration != nil {
		daemon.scheduler.Update(configuration, usable)
	}
	if !wasReady && daemon.isReady() {
		event.FrontReady.Log("Daemon", daemon.settings.Name, "Replicas", len(usable))
	}
	daemon.noteChanges(last, entries)
	return entries
}

// noteChanges logs the replicas that are new or changed their state, and counts the runs that ended. Both lists are ordered
// by identifier.
func (daemon *Daemon) noteChanges(before, after []roster.Entry) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || (len(before) > 0 && before[0].Replica.ID < after[0].Replica.ID):
			daemon.noteEnd(&before[0].Replica)
			before = before[1:]
		case len(before) == 0 || before[0].Replica.ID > after[0].Replica.ID:
			logReplica(&after[0])
			after = after[1:]
		default:
			daemon.noteChange(&before[0], &after[0])
			before, after = before[1:], after[1:]
		}
	}
}

// noteChange notes what changed of one replica.
func (daemon *Daemon) noteChange(before, after *roster.Entry) {
	if before.Version == after.Version {
		return
	}
	old, now := &before.Replica, &after.Replica
	if old.Incarnation != now.Incarnation {
		daemon.noteEnd(old)
	}
	if old.Incarnation != now.Incarnation || old.Address != now.Address || old.Draining != now.Draining {
		logReplica(after)
	}
}

// logReplica logs the state of a replica.
func logReplica(entry *roster.Entry) {
	replica := &entry.Replica
	event.ReplicaTaken.Log("Replica", replica.ID, "Born", replica.Started, "Service", replica.Service, "Address", replica.Address,
		"Zone", replica.Zone, "Draining", replica.Draining, "Version", entry.Version)
}
