package front

import (
	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/roster"
)

// answer returns what this daemon has that is newer than in the question.
func (daemon *Daemon) answer(question mesh.Question) mesh.Answer {
	var answer mesh.Answer
	if configuration := daemon.relay.Configuration(); configuration != nil && configuration.Version > question.Configuration {
		daemon.mutex.Lock()
		answer.Configuration = daemon.rawConfiguration
		daemon.mutex.Unlock()
	}
	version, known := daemon.roster.Version()
	if !known || version <= question.Roster {
		return answer
	}
	answer.Roster = version
	for _, entry := range daemon.roster.Entries() {
		answer.Rows = append(answer.Rows, mesh.Row{Key: entry.Replica.ID, Version: entry.Version, Value: entry.Raw})
	}
	return answer
}

// takeAnswer applies what another daemon knew.
func (daemon *Daemon) takeAnswer(answer mesh.Answer, source string) {
	if len(answer.Configuration) > 0 {
		configuration, err := platform.Configuration(answer.Configuration)
		if err != nil {
			event.RowSkipped.LogError(err, "Table", platform.OperatorTable, "Row", platform.ConfigurationKey, "Source", source)
		} else {
			daemon.configure(configuration, answer.Configuration, source)
		}
	}
	if answer.Roster == 0 {
		return
	}
	var entries []roster.Entry
	for _, row := range answer.Rows {
		key := datastore.Key{Table: platform.ReplicaTable, Row: row.Key}
		if entry, ok := daemon.entry(datastore.Row{Key: key, Version: row.Version, Value: row.Value}); ok {
			entries = append(entries, entry)
		}
	}
	daemon.roster.Replace(entries, answer.Roster, daemon.clock.Now())
	daemon.applySoon()
}
