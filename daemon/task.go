package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
)

// taskRestartDelay is the delay before a failed task is started again.
const taskRestartDelay = time.Second

// task is one background goroutine of the daemon. It runs until its context ends.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// runTasks runs every task and returns when ctx has ended and all have returned.
func runTasks(ctx context.Context, clock clock.Clock, tasks []task) {
	var group errgroup.Group
	for _, each := range tasks {
		group.Go(func() error {
			each.repeat(ctx, clock)
			return nil
		})
	}
	_ = group.Wait()
}

// repeat runs the task until ctx ends. If it returns earlier, the error is logged and it starts again after
// a delay.
func (task task) repeat(ctx context.Context, clock clock.Clock) {
	for ctx.Err() == nil {
		err := task.run(ctx)
		if ctx.Err() != nil {
			return
		}
		event.DutyFailed.LogError(err, "Duty", task.name)
		select {
		case <-clock.After(taskRestartDelay):
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
