package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func TestTransfersKeepTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const share, users = 3, 40
		transfers := &transfers{share: func() int { return share }}
		var inFlight, peak, gaveUp atomic.Int64
		var done sync.WaitGroup
		for user := range users {
			done.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(user)*5*time.Millisecond)
				defer cancel()
				release, err := transfers.Acquire(ctx)
				if err != nil {
					if !errors.Is(err, context.DeadlineExceeded) {
						t.Error(err)
					}
					gaveUp.Add(1)
					return
				}
				peak.Store(max(peak.Load(), inFlight.Add(1)))
				time.Sleep(20 * time.Millisecond)
				inFlight.Add(-1)
				release()
				release()
			})
		}
		done.Wait()
		if peak.Load() != share {
			t.Errorf("%d transfers at once, share is %d", peak.Load(), share)
		}
		if transfers.inFlight != 0 || len(transfers.waiting) != 0 {
			t.Errorf("%d in flight and %d waiting at the end", transfers.inFlight, len(transfers.waiting))
		}
		if gaveUp.Load() == 0 || gaveUp.Load() > users/2 {
			t.Errorf("%d of %d gave up", gaveUp.Load(), users)
		}
	})
}
