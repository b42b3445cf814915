package claim

import (
	"context"
	"strings"

	"github.com/bronzestall/bronzestall/datastore"
)

// sweepRows is the largest number of rows that one Sweep deletes.
const sweepRows = 100

// Sweep deletes at most sweepRows claims that are older than the retention, and reports whether there
// may be more. It costs one read and one write at most.
func (store *Store) Sweep(ctx context.Context) (full bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, store.settings.Timeout)
	defer cancel()
	rows, err := store.tables.Scan(ctx, table, "", "", sweepRows)
	if err != nil {
		return false, err
	}
	keep := bucketPrefix(bucket(store.clock.Now()) - keptDays)
	var old []datastore.Write
	for _, row := range rows {
		if strings.Compare(row.Row, keep) >= 0 {
			break
		}
		old = append(old, datastore.Write{Key: row.Key, Delete: true})
	}
	if len(old) == 0 {
		return false, nil
	}
	_, err = store.tables.Commit(ctx, old)
	return len(old) == sweepRows, err
}
