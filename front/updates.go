package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/platform"
)

// waitForUpdate returns the data of this daemon that is newer than the versions in the request. It waits for
// newer data for at most request.Wait, and returns early if the store does not answer this daemon.
func (daemon *Daemon) waitForUpdate(ctx context.Context, request mesh.UpdateRequest) mesh.UpdateResponse {
	timer := daemon.clock.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		changed := daemon.updates.next()
		response := daemon.updateSince(request)
		if request.Wait <= 0 || response.HasUpdates() || response.StoreLost {
			return response
		}
		select {
		case <-changed:
		case <-timer.C():
			return daemon.updateSince(request)
		case <-ctx.Done():
			return response
		}
	}
}

// updateSince returns the data that this daemon has now and that is newer than the versions in the request.
func (daemon *Daemon) updateSince(request mesh.UpdateRequest) mesh.UpdateResponse {
	// The age is read before the configuration, which may only be newer.
	age, confirmed := daemon.confirmedAge()
	response := mesh.UpdateResponse{StoreAge: daemon.replicasAge(), StoreLost: daemon.isStoreLost(), ConfigurationAge: age, ConfigurationConfirmed: confirmed}
	if configuration := daemon.relay.Configuration(); configuration != nil && configuration.Version > request.ConfigurationVersion {
		daemon.mutex.Lock()
		response.Configuration = daemon.configurationRow
		daemon.mutex.Unlock()
	}
	if outageEnd := daemon.roster.OutageEnd(); !outageEnd.IsZero() {
		response.OutageEnded = true
		response.OutageEndAge = daemon.clock.Since(outageEnd)
	}
	delta, known := daemon.roster.ChangesSince(request.RosterVersion)
	if !known || delta.Version <= request.RosterVersion {
		return response
	}
	response.RosterVersion, response.Full, response.Removed = delta.Version, delta.Full, delta.Removed
	for _, entry := range delta.Entries {
		response.Rows = append(response.Rows, mesh.Row{Key: entry.Replica.ID, Version: entry.Version, Value: entry.Raw})
	}
	return response
}

// applyUpdate applies the update of another daemon, which was asked for it at the time.
func (daemon *Daemon) applyUpdate(response mesh.UpdateResponse, source string, asked time.Time) {
	if daemon.applyPeerConfiguration(response.Configuration, source) && response.ConfigurationConfirmed {
		daemon.confirmConfiguration(asked.Add(-response.ConfigurationAge))
	}
	if response.OutageEnded {
		daemon.roster.EndOutage(daemon.clock.Now().Add(-response.OutageEndAge))
	}
	if response.RosterVersion == 0 {
		return
	}
	entries := daemon.decodeEntries(replicaRows(response.Rows))
	if response.Full {
		daemon.replaceReplicas(entries, response.RosterVersion)
		return
	}
	for _, id := range response.Removed {
		daemon.removeReplica(id, response.RosterVersion)
	}
	for _, entry := range entries {
		daemon.roster.Put(entry)
	}
	daemon.roster.Advance(response.RosterVersion)
	if response.HasUpdates() {
		daemon.updates.notify()
		daemon.requestApply()
	}
}

// applyPeerConfiguration applies the configuration of another daemon, unless it is empty. It reports whether this daemon has it then: one
// that cannot be decoded is logged and skipped.
func (daemon *Daemon) applyPeerConfiguration(row []byte, source string) bool {
	if len(row) == 0 {
		return true
	}
	configuration, err := platform.DecodeConfiguration(row)
	if err != nil {
		event.RowSkipped.LogError(err, "Table", platform.OperatorTable, "Row", platform.ConfigurationKey, "Source", source)
		return false
	}
	daemon.applyConfiguration(configuration, row, source)
	return true
}

// replicaRows returns the received rows as rows of the replica table.
func replicaRows(received []mesh.Row) []datastore.Row {
	rows := make([]datastore.Row, 0, len(received))
	for _, row := range received {
		key := datastore.Key{Table: platform.ReplicaTable, Row: row.Key}
		rows = append(rows, datastore.Row{Key: key, Version: row.Version, Value: row.Value})
	}
	return rows
}
