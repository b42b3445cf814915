package mesh

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

// Parts is what a node asks of its daemon. All fields must be set.
type Parts struct {
	// State returns what the daemon tells of itself.
	State func() State
	// Loads returns its requests in flight, or nil if others need not know them.
	Loads func() Loads
	// Suspects returns the requests that crashed replicas and that another daemon is to hear of next, and HearSuspects
	// takes those that it told.
	Suspects     func() []quarantine.Suspect
	HearSuspects func(suspects []quarantine.Suspect)
	// Leaving returns the runs of replicas that said that they leave, and HearLeaving takes those that another daemon told.
	Leaving     func() []topology.Incarnation
	HearLeaving func(runs []topology.Incarnation)
	// Sync takes a report and returns the newest announcement, after waiting for a newer one as the
	// report allows. It fails if the daemon does not hold the lease.
	Sync func(ctx context.Context, report Report) (directory.Announcement, error)
	// Answer returns what is newer than in the question, after waiting for it as the question allows.
	Answer func(ctx context.Context, question Question) Answer
	// Tables makes calls to the platform's store for daemons that it turns away.
	Tables RowTables
}

// RowTables is what a lease needs of the platform's store.
type RowTables interface {
	Read(ctx context.Context, key datastore.Key) (datastore.Row, error)
	Commit(ctx context.Context, writes []datastore.Write) ([]uint64, error)
}
