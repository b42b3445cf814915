package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// expiringRows holds what this daemon knows of the rows of a table that are deleted once they have not changed for some time. The
// rows have no time of writing, since the clocks of daemons differ. It is safe for concurrent use. Use newExpiringRows.
type expiringRows struct {
	table string

	mutex sync.Mutex
	// rows maps row keys to the last known versions.
	rows map[string]trackedRow
}

// trackedRow is the last known version of a row, and when this daemon received it.
type trackedRow struct {
	version datastore.Version
	changed time.Time
}

func newExpiringRows(table string) *expiringRows {
	return &expiringRows{table: table, rows: map[string]trackedRow{}}
}

// track records the version of a row.
func (rows *expiringRows) track(row string, version datastore.Version, now time.Time) {
	rows.mutex.Lock()
	defer rows.mutex.Unlock()
	if known, ok := rows.rows[row]; !ok || known.version < version {
		rows.rows[row] = trackedRow{version, now}
	}
}

// forget records that a row was deleted.
func (rows *expiringRows) forget(row string) {
	rows.mutex.Lock()
	defer rows.mutex.Unlock()
	delete(rows.rows, row)
}

// count returns the number of known rows.
func (rows *expiringRows) count() int {
	rows.mutex.Lock()
	defer rows.mutex.Unlock()
	return len(rows.rows)
}

// expired returns the keys of the rows that have not changed for the age, with their versions.
func (rows *expiringRows) expired(age time.Duration, now time.Time) map[string]datastore.Version {
	rows.mutex.Lock()
	defer rows.mutex.Unlock()
	expired := map[string]datastore.Version{}
	for row, known := range rows.rows {
		if now.Sub(known.changed) >= age {
			expired[row] = known.version
		}
	}
	return expired
}

// deleteRow deletes the row from the table if it still has the version. It forgets the row in any case, unless it fails.
func (daemon *Daemon) deleteRow(ctx context.Context, rows *expiringRows, row string, version datastore.Version) error {
	key := datastore.Key{Table: rows.table, Row: row}
	_, err := daemon.rowStore.Commit(ctx, []datastore.Write{{Key: key, Check: true, IfVersion: version, Delete: true}})
	if err != nil && !errors.Is(err, datastore.ErrConflict) {
		return err
	}
	rows.forget(row)
	return nil
}
