package learner

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/keepwarm"
)

// Table is the name of the table.
const Table = "keepwarm"

// maxAttempts bounds the transactions of one save.
const maxAttempts = 5

// Store stores the statistics of one data centre. Use NewStore.
type Store struct {
	tables     datastore.Tables
	dataCentre string
}

// NewStore returns the store of the data centre.
func NewStore(tables datastore.Tables, dataCentre string) *Store {
	return &Store{tables: tables, dataCentre: dataCentre}
}

// Read returns the stored content of all parts, for Statistics.Restore. It costs one read.
func (store *Store) Read(ctx context.Context) ([][]byte, error) {
	rows, err := store.tables.Scan(ctx, Table, store.dataCentre+"/", "", keepwarm.Parts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	parts := make([][]byte, 0, len(rows))
	for _, row := range rows {
		parts = append(parts, row.Value)
	}
	return parts, nil
}

// Save merges the change into the stored part. It costs a read and a transaction, which are repeated up to five times
// after a conflict or an unclear result. After an error the caller must retry with the same change, which is then
// merged only once.
func (store *Store) Save(ctx context.Context, change keepwarm.Change) error {
	var err error
	for range maxAttempts {
		err = store.tryMerge(ctx, change)
		if err == nil {
			return nil
		}
		if !errors.Is(err, datastore.ErrConflict) && !errors.Is(err, datastore.ErrUnclear) {
			return err
		}
	}
	return err
}

// tryMerge merges the change in one transaction, or does nothing if the stored part already contains it.
func (store *Store) tryMerge(ctx context.Context, change keepwarm.Change) error {
	key := datastore.Key{Table: Table, Row: fmt.Sprintf("%s/%03d", store.dataCentre, change.Part)}
	row, err := store.tables.Read(ctx, key)
	if err != nil && !errors.Is(err, datastore.ErrNotFound) {
		return trace.Wrap(err)
	}
	content, changed, err := keepwarm.Merge(row.Value, change)
	if err != nil || !changed {
		return err
	}
	write := datastore.Write{Key: key, Check: true, IfVersion: row.Version, Value: content}
	_, err = store.tables.Commit(ctx, []datastore.Write{write})
	return trace.Wrap(err)
}
