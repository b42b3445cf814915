package intent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// The tables of this package. Rows are named after data centre and identifier.
const (
	// Table holds the intents.
	Table = "Intents"
	// BudgetTable holds the budgets.
	BudgetTable = "Budgets"
)

const scanLimit = 500

// Log reads and writes the intents and budgets of one data centre.
type Store struct {
	tables     datastore.Tables
	dataCentre string
}

// NewLog returns the log of the data centre.
func NewStore(tables datastore.Tables, dataCentre string) *Store {
	return &Store{tables: tables, dataCentre: dataCentre}
}

// Change is what one transaction writes.
type Change struct {
	// Open are the intents to add.
	NewIntents []Intent
	// Close are the identifiers of intents to remove.
	RemovedIDs []string
	// Budget is the new budget of the holder, or nil to leave it.
	Budget *Budget
	// Trim are budgets of former holders with the shares that are still open; one without shares is removed.
	TrimmedBudgets []Budget
}

// IsEmpty reports whether the change writes nothing.
func (change Change) IsEmpty() bool {
	return len(change.NewIntents) == 0 && len(change.RemovedIDs) == 0 && change.Budget == nil && len(change.TrimmedBudgets) == 0
}

// Commit writes the change in one transaction under the guard of the lease. Its errors are
// those of datastore.Tables; ErrUnclear is settled by Took.
func (log *Store) Commit(ctx context.Context, guard datastore.Write, change Change) error {
	writes := make([]datastore.Write, 0, 2+len(change.NewIntents)+len(change.RemovedIDs)+len(change.TrimmedBudgets))
	writes = append(writes, guard)
	for _, intent := range change.NewIntents {
		writes = append(writes, datastore.Write{Key: log.key(intent.ID), Check: true, Value: encode(intent)})
	}
	for _, id := range change.RemovedIDs {
		writes = append(writes, datastore.Write{Key: log.key(id), Delete: true})
	}
	if change.Budget != nil {
		writes = append(writes, datastore.Write{Key: log.budgetKey(change.Budget.Fence), Value: encode(change.Budget)})
	}
	for _, budget := range change.TrimmedBudgets {
		write := datastore.Write{Key: log.budgetKey(budget.Fence), Value: encode(budget)}
		if len(budget.Shares) == 0 {
			write.Delete, write.Value = true, nil
		}
		writes = append(writes, write)
	}
	_, err := log.tables.Commit(ctx, writes)
	return trace.Wrap(err)
}

// Exists reports whether the row of the intent is there.
func (log *Store) Exists(ctx context.Context, id string) (bool, error) {
	_, err := log.tables.Read(ctx, log.key(id))
	if errors.Is(err, datastore.ErrNotFound) {
		return false, nil
	}
	return err == nil, trace.Wrap(err)
}

// Intents returns all intents of the data centre in order of identifiers.
func (log *Store) Intents(ctx context.Context) ([]Intent, error) {
	return scan[Intent](ctx, log.tables, Table, log.dataCentre+"/")
}

// Budgets returns all budgets of the data centre in order of fencing numbers.
func (log *Store) Budgets(ctx context.Context) ([]Budget, error) {
	return scan[Budget](ctx, log.tables, BudgetTable, log.dataCentre+"/")
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

func (log *Store) key(id string) datastore.Key {
	return datastore.Key{Table: Table, Row: log.dataCentre + "/" + id}
}

func (log *Store) budgetKey(fence uint64) datastore.Key {
	return datastore.Key{Table: BudgetTable, Row: fmt.Sprintf("%s/%020d", log.dataCentre, fence)}
}

func encode(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
