package claim

import (
	"context"
	"strings"

	"github.com/bronzestall/bronzestall/datastore"
)

// maxSweepRows is the largest number of rows that one Sweep deletes.
const maxSweepRows = 100

// Sweep deletes at most maxSweepRows claims that are older than the retention, and reports whether there
// may be more. It costs at most one read and one write.
func (store *Store) Sweep(ctx context.Context) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, store.settings.Timeout)
	defer cancel()
	rows, err := store.tables.Scan(ctx, table, "", "", maxSweepRows)
	if err != nil {
		return false, err
	}
	firstKept := bucketPrefix(bucket(store.clock.Now()) - retentionDays)
	var old []datastore.Write
	for _, row := range rows {
		if strings.Compare(row.Row, firstKept) >= 0 {
			break
		}
		old = append(old, datastore.Write{Key: row.Key, Delete: true})
	}
	if len(old) == 0 {
		return false, nil
	}
	_, err = store.tables.Commit(ctx, old)
	return len(old) == maxSweepRows, err
}
