package mesh

import (
	"context"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/quota"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// Deps holds what a node needs from its daemon. All fields must be set.
type Deps struct {
	// State returns the state that the daemon announces.
	State func() State
	// InFlight returns the requests in flight of the daemon, or nil if greetings need not carry them.
	InFlight func() InFlightCounts
	// Suspects returns the requests that crashed replicas, for the next greeting. ReceiveSuspects processes
	// those that another daemon sent.
	Suspects        func() []quarantine.Suspect
	ReceiveSuspects func(suspects []quarantine.Suspect)
	// Leaving returns the replicas that announced that they shut down, for the next greeting. ReceiveLeaving
	// processes those that another daemon sent.
	Leaving        func() []topology.Incarnation
	ReceiveLeaving func(incarnations []topology.Incarnation)
	// Limits returns the limits of replicas for the next greeting, or all of them. ReceiveLimits processes those that
	// another daemon sent.
	Limits        func(all bool) []ratelimit.Entry
	ReceiveLimits func(entries []ratelimit.Entry)
	// Grant responds to the questions of another daemon for tokens, in their order.
	Grant func(daemon string, asks []ratelimit.Ask) []ratelimit.Grant
	// GrantQuotas responds to the questions of another daemon for amounts of the quotas of accounts, in their order.
	GrantQuotas func(daemon string, asks []quota.Ask) []quota.Grant
	// Proofs returns when the daemon had bytes of responses of the replicas last, after it has probed those that did not respond lately.
	Proofs func(ctx context.Context, replicas []topology.Incarnation) []Proof
	// Origins returns what the daemon knows of the streams that the query names.
	Origins func(ctx context.Context, query OriginQuery) OriginAnswer
	// Sync processes a report and returns the newest announcement. It waits for a newer one for at most
	// report.Wait, and fails if the daemon does not hold the lease.
	Sync func(ctx context.Context, report Report) (directory.Announcement, error)
	// Update returns the data that is newer than the versions in the request. It waits for newer data for at
	// most request.Wait.
	Update func(ctx context.Context, request UpdateRequest) UpdateResponse
	// Protocols keeps the versions of the protocol that other daemons tell.
	Protocols *protocol.Registry
	// Store makes calls to the platform's store for daemons that the store does not answer.
	Store RowStore
}

// RowStore reads and writes single rows of the platform's store, as a lease needs it.
type RowStore interface {
	Read(ctx context.Context, key datastore.Key) (datastore.Row, error)
	Commit(ctx context.Context, writes []datastore.Write) ([]datastore.Version, error)
}
