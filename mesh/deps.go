package mesh

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

// Deps is what a node asks of its daemon. All fields must be set.
type Deps struct {
	// State returns what the daemon tells of itself.
	State func() State
	// InFlight returns its requests in flight, or nil if others need not know them.
	InFlight func() InFlightCounts
	// Suspects returns the requests that crashed replicas and that another daemon is to hear of next, and HearSuspects
	// takes those that it told.
	Suspects        func() []quarantine.Suspect
	ReceiveSuspects func(suspects []quarantine.Suspect)
	// Leaving returns the runs of replicas that said that they leave, and HearLeaving takes those that another daemon told.
	Leaving        func() []topology.Incarnation
	ReceiveLeaving func(runs []topology.Incarnation)
	// Sync takes a report and returns the newest announcement, after waiting for a newer one as the
	// report allows. It fails if the daemon does not hold the lease.
	Sync func(ctx context.Context, report Report) (directory.Announcement, error)
	// Update returns what is newer than in the question, after waiting for it as the question allows.
	Update func(ctx context.Context, question UpdateRequest) UpdateResponse
	// Store makes calls to the platform's store for daemons that it turns away.
	Store RowStore
}

// RowStore is what a lease needs of the platform's store.
type RowStore interface {
	Read(ctx context.Context, key datastore.Key) (datastore.Row, error)
	Commit(ctx context.Context, writes []datastore.Write) ([]uint64, error)
}
