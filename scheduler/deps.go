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

// Lease is the right to send orders.
type Lease interface {
	// Held returns the fencing token and the end of the term, and whether orders may be sent now.
	Held() (fence uint64, until time.Time, ok bool)
	// Former returns the holder before; it is empty if there was none.
	Former() lease.Holder
}

// Engines takes orders and tells what engines hold.
type Engines interface {
	// Order sends the order once. An error means that it may be carried out, now or later.
	Order(ctx context.Context, order residency.Order, holder string, fence uint64) (residency.Verdict, error)
	// Report returns what the engine held a moment ago, and the start of its run.
	Report(ctx context.Context, engine topology.Incarnation, address string) (topology.Holding, int64, error)
}

// Deps is what a scheduler works with. All fields but Resting must be set.
type Deps struct {
	// Lease is the right to send orders.
	Lease Lease
	// Engines takes orders.
	Engines Engines
	// Loadings returns the models on their way that the former holder announced.
	Loadings func() map[topology.Incarnation]directory.Loading
	// Backoff returns until when an engine wants nothing, and false if it does; nil means that all want orders.
	Backoff func(engine topology.Incarnation, now time.Time) (time.Time, bool)
	// Clock goes on while the VM is suspended.
	Clock clock.WithTicker
}

// Settings tells a scheduler who it is.
type Settings struct {
	// Name is the name of the daemon, which engines see as the holder.
	Name string
	// Turnover is the time that passes between orders of two holders.
	Turnover time.Duration
	// Planner holds the limits of planning.
	Planner residency.Settings
}
