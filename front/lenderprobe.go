package front

import (
	"context"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/lending"
)

const (
	// lenderProbeInterval is the interval at which the daemons that serve requests for this one are asked whether they respond.
	lenderProbeInterval = 200 * time.Millisecond
	// lenderProbeTimeout is the longest time for a response.
	lenderProbeTimeout = 400 * time.Millisecond
)

// runProbes asks the daemons that serve requests for this one whether they respond. One that does not gets no more requests for a
// while, and those that may be sent again go to others. Without such requests, it does nothing.
func (lender *lender) runProbes(ctx context.Context) error {
	ticker := lender.daemon.clock.NewTicker(lenderProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		}
		var probes sync.WaitGroup
		for _, daemon := range lender.borrowed.Serving(lender.daemon.clock.Now()) {
			probes.Go(func() { lender.probe(ctx, daemon) })
		}
		probes.Wait()
	}
}

// probe asks one daemon whether it responds.
func (lender *lender) probe(ctx context.Context, daemon lending.Lender) {
	ctx, cancel := context.WithTimeout(ctx, lenderProbeTimeout)
	defer cancel()
	err := lender.daemon.mesh.Ping(ctx, daemon.Address)
	now := lender.daemon.clock.Now()
	if err == nil {
		lender.borrowed.Responded(daemon.Name, now)
		return
	}
	if cancelled := lender.borrowed.NoResponse(daemon.Name, now); cancelled > 0 {
		event.LenderSilent.LogError(err, "Daemon", daemon.Name, "Requests", cancelled)
	}
}
