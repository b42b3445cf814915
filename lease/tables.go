package lease

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
)

// Tables is the part of the table service that a lease uses; datastore.Tables implements it.
type Tables interface {
	// Read returns one row, or fails with datastore.ErrNotFound.
	Read(ctx context.Context, key datastore.Key) (datastore.Row, error)
	// Commit applies all writes or none, and returns the new versions.
	Commit(ctx context.Context, writes []datastore.Write) ([]uint64, error)
}
