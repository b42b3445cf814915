package front

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/platform"
)

// answer returns what this daemon has that is newer than in the question. It waits for that as long as the question
// allows and this daemon itself hears from the store.
func (daemon *Daemon) answer(ctx context.Context, question mesh.Question) mesh.Answer {
	timer := daemon.clock.NewTimer(question.Wait)
	defer timer.Stop()
	for {
		news := daemon.news.next()
		answer := daemon.newer(question)
		if question.Wait <= 0 || answer.News() || answer.StoreLost {
			return answer
		}
		select {
		case <-news:
		case <-timer.C():
			return daemon.newer(question)
		case <-ctx.Done():
			return answer
		}
	}
}

// newer returns what this daemon has now that is newer than in the question.
func (daemon *Daemon) newer(question mesh.Question) mesh.Answer {
	answer := mesh.Answer{StoreAge: daemon.storeAge(), StoreLost: daemon.isStoreLost()}
	if configuration := daemon.relay.Configuration(); configuration != nil && configuration.Version > question.Configuration {
		daemon.mutex.Lock()
		answer.Configuration = daemon.rawConfiguration
		daemon.mutex.Unlock()
	}
	if regained := daemon.roster.Regained(); !regained.IsZero() {
		answer.Regained = true
		answer.RegainedAge = daemon.clock.Since(regained)
	}
	delta, known := daemon.roster.After(question.Roster)
	if !known || delta.Version <= question.Roster {
		return answer
	}
	answer.Roster, answer.Whole, answer.Removed = delta.Version, delta.Whole, delta.Removed
	for _, entry := range delta.Entries {
		answer.Rows = append(answer.Rows, mesh.Row{Key: entry.Replica.ID, Version: entry.Version, Value: entry.Raw})
	}
	return answer
}

// takeAnswer applies what another daemon knew.
func (daemon *Daemon) takeAnswer(answer mesh.Answer, source string) {
	if len(answer.Configuration) > 0 {
		configuration, err := platform.DecodeConfiguration(answer.Configuration)
		if err != nil {
			event.RowSkipped.LogError(err, "Table", platform.OperatorTable, "Row", platform.ConfigurationKey, "Source", source)
		} else {
			daemon.configure(configuration, answer.Configuration, source)
		}
	}
	if answer.Regained {
		daemon.roster.Regain(daemon.clock.Now().Add(-answer.RegainedAge))
	}
	if answer.Roster == 0 {
		return
	}
	entries := daemon.entries(replicaRows(answer.Rows))
	if answer.Whole {
		daemon.replaceReplicas(entries, answer.Roster)
		return
	}
	for _, id := range answer.Removed {
		daemon.dropReplica(id, answer.Roster)
	}
	for _, entry := range entries {
		daemon.roster.Put(entry)
	}
	daemon.roster.Advance(answer.Roster)
	if answer.News() {
		daemon.news.tell()
		daemon.applySoon()
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
