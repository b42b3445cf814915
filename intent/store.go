package intent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// The tables of this package. A row is named by the data centre and the identifier or fencing number.
const (
	// Table holds the intents.
	Table = "Intents"
	// BudgetTable holds the budgets.
	BudgetTable = "Budgets"
)

const scanLimit = 500

// Store reads and writes the intents and budgets of one data centre in the table service.
type Store struct {
	tables     datastore.Tables
	dataCentre string
}

// NewStore returns the store of the data centre.
func NewStore(tables datastore.Tables, dataCentre string) *Store {
	return &Store{tables: tables, dataCentre: dataCentre}
}

// Change is the set of writes of one transaction.
type Change struct {
	// NewIntents are the intents to add.
	NewIntents []Intent
	// RemovedIDs are the identifiers of the intents to remove.
	RemovedIDs []string
	// Budget is the new budget of the holder, or nil to keep the current one.
	Budget *Budget
	// TrimmedBudgets are budgets of former holders with the shares that are still open; one without shares is removed.
	TrimmedBudgets []Budget
}

// IsEmpty reports whether the change writes nothing.
func (change Change) IsEmpty() bool {
	return len(change.NewIntents) == 0 && len(change.RemovedIDs) == 0 && change.Budget == nil && len(change.TrimmedBudgets) == 0
}

// Commit writes the change in one transaction that fails unless the guard, a check of the lease, holds. Its
// errors are those of datastore.Tables; after ErrUnclear, Exists shows for a row of the change whether it took effect.
func (store *Store) Commit(ctx context.Context, guard datastore.Write, change Change) error {
	writes := make([]datastore.Write, 0, 2+len(change.NewIntents)+len(change.RemovedIDs)+len(change.TrimmedBudgets))
	writes = append(writes, guard)
	for _, intent := range change.NewIntents {
		writes = append(writes, datastore.Write{Key: store.key(intent.ID), Check: true, Value: encode(intent)})
	}
	for _, id := range change.RemovedIDs {
		writes = append(writes, datastore.Write{Key: store.key(id), Delete: true})
	}
	if change.Budget != nil {
		writes = append(writes, datastore.Write{Key: store.budgetKey(change.Budget.Fence), Value: encode(change.Budget)})
	}
	for _, budget := range change.TrimmedBudgets {
		write := datastore.Write{Key: store.budgetKey(budget.Fence), Value: encode(budget)}
		if len(budget.Shares) == 0 {
			write.Delete, write.Value = true, nil
		}
		writes = append(writes, write)
	}
	_, err := store.tables.Commit(ctx, writes)
	return trace.Wrap(err)
}

// Exists reports whether the intent has a row.
func (store *Store) Exists(ctx context.Context, id string) (bool, error) {
	_, err := store.tables.Read(ctx, store.key(id))
	if errors.Is(err, datastore.ErrNotFound) {
		return false, nil
	}
	return err == nil, trace.Wrap(err)
}

// Intents returns all intents of the data centre in order of identifiers.
func (store *Store) Intents(ctx context.Context) ([]Intent, error) {
	return scan[Intent](ctx, store.tables, Table, store.dataCentre+"/")
}

// Budgets returns all budgets of the data centre in order of fencing numbers.
func (store *Store) Budgets(ctx context.Context) ([]Budget, error) {
	return scan[Budget](ctx, store.tables, BudgetTable, store.dataCentre+"/")
}

func scan[T any](ctx context.Context, tables datastore.Tables, table, prefix string) ([]T, error) {
	var all []T
	after := ""
	for {
		rows, err := tables.Scan(ctx, table, prefix, after, scanLimit)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, row := range rows {
			var value T
			if err := json.Unmarshal(row.Value, &value); err != nil {
				return nil, trace.Wrap(err, "row %s of table %s", row.Row, table)
			}
			all = append(all, value)
			after = row.Row
		}
		if len(rows) < scanLimit {
			return all, nil
		}
	}
}

func (store *Store) key(id string) datastore.Key {
	return datastore.Key{Table: Table, Row: store.dataCentre + "/" + id}
}

func (store *Store) budgetKey(fence uint64) datastore.Key {
	return datastore.Key{Table: BudgetTable, Row: fmt.Sprintf("%s/%020d", store.dataCentre, fence)}
}

func encode(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
