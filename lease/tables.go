package lease

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
)

// Tables is what a lease needs of the table service; datastore.Tables has it.
type Tables interface {
	// Read returns one row, or fails with datastore.ErrNotFound.
	Read(ctx context.Context, key datastore.Key) (datastore.Row, error)
	// Commit applies all writes or none.
	Commit(ctx context.Context, writes []datastore.Write) ([]uint64, error)
}
