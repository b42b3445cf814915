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
	Commit(ctx context.Context, writes []datastore.Write) ([]datastore.Version, error)
}

// eraSource is implemented by table services that can come back from an older copy. Era returns the era of the last response;
// see datastore.NewVersion.
type eraSource interface {
	Era() uint64
}

// era returns the era of the table service; zero if it has none.
func (lease *Lease) era() uint64 {
	source, ok := lease.tables.(eraSource)
	if !ok {
		return 0
	}
	return source.Era()
}
