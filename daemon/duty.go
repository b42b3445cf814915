package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
)

// dutyPause is the pause before a failed duty starts again.
const dutyPause = time.Second

// duty is one job of the daemon that runs until its context ends.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

// runDuties runs every duty until ctx ends.
func runDuties(ctx context.Context, clock clock.Clock, duties []duty) {
	var group errgroup.Group
	for _, one := range duties {
		group.Go(func() error {
			one.repeat(ctx, clock)
			return nil
		})
	}
	_ = group.Wait()
}

func (duty duty) repeat(ctx context.Context, clock clock.Clock) {
	for ctx.Err() == nil {
		err := duty.run(ctx)
		if ctx.Err() != nil {
			return
		}
		event.DutyFailed.LogError(err, "Duty", duty.name)
		select {
		case <-clock.After(dutyPause):
		case <-ctx.Done():
		}
	}
}

// every calls do at once and then at each interval until ctx ends.
func every(ctx context.Context, clock clock.Clock, interval time.Duration, do func(ctx context.Context)) error {
	for {
		do(ctx)
		select {
		case <-clock.After(interval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
