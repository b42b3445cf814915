package dispatch

import (
	"context"
	"time"
)

// suspectPause is how long a suspect waits for other daemons to publish their crashes.
const suspectPause = 500 * time.Millisecond

// pause waits for the time, for the deadline of the next attempt or for the end of ctx.
func (transaction *transaction) pause(ctx context.Context, length time.Duration) {
	transaction.wait(ctx, min(length, max(transaction.timeLeft(), 0)))
}

// wait waits for the time or the end of ctx.
func (transaction *transaction) wait(ctx context.Context, length time.Duration) {
	timer := transaction.dispatcher.clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}
