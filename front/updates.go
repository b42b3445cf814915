package front

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/platform"
)

// waitForUpdate returns what this daemon has that is newer than in the question. It waits for that as long as the question
// allows and this daemon itself hears from the store.
func (daemon *Daemon) waitForUpdate(ctx context.Context, question mesh.UpdateRequest) mesh.UpdateResponse {
	timer := daemon.clock.NewTimer(question.Wait)
	defer timer.Stop()
	for {
		news := daemon.updates.next()
		answer := daemon.updateSince(question)
		if question.Wait <= 0 || answer.HasUpdates() || answer.StoreLost {
			return answer
		}
		select {
		case <-news:
		case <-timer.C():
			return daemon.updateSince(question)
		case <-ctx.Done():
			return answer
		}
	}
}

// updateSince returns what this daemon has now that is updateSince than in the question.
func (daemon *Daemon) updateSince(question mesh.UpdateRequest) mesh.UpdateResponse {
	answer := mesh.UpdateResponse{StoreAge: daemon.storeAge(), StoreLost: daemon.isStoreLost()}
	if configuration := daemon.relay.Configuration(); configuration != nil && configuration.Version > question.ConfigurationVersion {
		daemon.mutex.Lock()
		answer.Configuration = daemon.configurationRow
		daemon.mutex.Unlock()
	}
	if regained := daemon.roster.Regained(); !regained.IsZero() {
		answer.Regained = true
		answer.RegainedAge = daemon.clock.Since(regained)
	}
	delta, known := daemon.roster.After(question.RosterVersion)
	if !known || delta.Version <= question.RosterVersion {
		return answer
	}
	answer.RosterVersion, answer.Full, answer.Removed = delta.Version, delta.Whole, delta.Removed
	for _, entry := range delta.Entries {
		answer.Rows = append(answer.Rows, mesh.Row{Key: entry.Replica.ID, Version: entry.Version, Value: entry.Raw})
	}
	return answer
}

// applyUpdate applies what another daemon knew.
func (daemon *Daemon) applyUpdate(answer mesh.UpdateResponse, source string) {
	if len(answer.Configuration) > 0 {
		configuration, err := platform.Configuration(answer.Configuration)
		if err != nil {
			event.RowSkipped.LogError(err, "Table", platform.OperatorTable, "Row", platform.ConfigurationKey, "Source", source)
		} else {
			daemon.applyConfiguration(configuration, answer.Configuration, source)
		}
	}
	if answer.Regained {
		daemon.roster.Regain(daemon.clock.Now().Add(-answer.RegainedAge))
	}
	if answer.RosterVersion == 0 {
		return
	}
	entries := daemon.decodeEntries(replicaRows(answer.Rows))
	if answer.Full {
		daemon.replaceReplicas(entries, answer.RosterVersion)
		return
	}
	for _, id := range answer.Removed {
		daemon.removeReplica(id, answer.RosterVersion)
	}
	for _, entry := range entries {
		daemon.roster.Put(entry)
	}
	daemon.roster.Advance(answer.RosterVersion)
	if answer.HasUpdates() {
		daemon.updates.notify()
		daemon.requestApply()
	}
}

// replicaRows returns the rows of another daemon as they stand in the replica table.
func replicaRows(told []mesh.Row) []datastore.Row {
	rows := make([]datastore.Row, 0, len(told))
	for _, row := range told {
		key := datastore.Key{Table: platform.ReplicaTable, Row: row.Key}
		rows = append(rows, datastore.Row{Key: key, Version: row.Version, Value: row.Value})
	}
	return rows
}
