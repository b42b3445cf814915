package scheduler

import (
	"context"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// Lease grants the right to send orders.
type Lease interface {
	// Held returns the fencing token, the end of the term and whether orders may be sent now.
	Held() (fence uint64, until time.Time, ok bool)
	// Former returns the previous holder; it is empty if there was none.
	Former() lease.Holder
	// FormerEnded returns the time by which the right of the previous holder to send orders had ended; zero if unknown.
	FormerEnded() time.Time
}

// Engines sends orders and queries to engines.
type Engines interface {
	// Order sends the order once. After an error the engine may still carry the order out, now or later.
	Order(ctx context.Context, order residency.Order, holder string, fence uint64) (residency.Verdict, error)
	// Report returns the recent holding of the engine and the start of its process in Unix milliseconds.
	Report(ctx context.Context, engine topology.Incarnation, address string) (topology.Holding, int64, error)
}

// Deps holds the dependencies of a scheduler. All fields except Backoff and Limit must be set.
type Deps struct {
	// Lease grants the right to send orders.
	Lease Lease
	// Engines sends orders and queries.
	Engines Engines
	// Loadings returns the loads in progress that the former holder announced.
	Loadings func() map[topology.Incarnation]directory.Loading
	// Backoff returns the end of the pause that an engine has asked for, and false if there is none. A nil Backoff
	// means that engines never ask for a pause.
	Backoff func(engine topology.Incarnation, now time.Time) (time.Time, bool)
	// Limit returns the requests per second that an engine accepts from all daemons together, and false if it named no
	// limit. A nil Limit means that engines never name one.
	Limit func(engine topology.Incarnation) (float64, bool)
	// Clock must keep running while the VM is suspended.
	Clock clock.WithTicker
}

// Settings configures a scheduler.
type Settings struct {
	// Name is the name of this daemon. Engines receive it as the holder with each order.
	Name string
	// Turnover is the minimum time between orders of two different holders.
	Turnover time.Duration
	// Planner holds the limits of the planner.
	Planner residency.Settings
}
