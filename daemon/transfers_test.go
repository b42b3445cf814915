package daemon

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/permit"
)

// fakeGranter is a decider that another daemon takes one transfer from, and that can be away.
type fakeGranter struct {
	grants *permit.Allocator
	total  int
	away   atomic.Bool
}

func (granter *fakeGranter) askGrant(_ context.Context, request peer.GrantRequest) (peer.Grant, error) {
	if granter.away.Load() {
		return peer.Grant{}, errors.New("away")
	}
	granter.grants.Update("other", permit.Report{Waiting: 1}, granter.total+1, time.Now())
	made := granter.grants.Update("this", permit.Report(request), granter.total+1, time.Now())
	return peer.Grant{Decides: true, Sequence: made.Sequence, Transfers: made.Transfers, Lasts: made.Lasts}, nil
}

func TestTransfersKeepTheGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const share, users = 3, 40
		decider := &fakeGranter{grants: permit.NewAllocator(time.Second), total: share}
		transfers := newTransfers(decider, clock.RealClock{}, func() int { return 1 })
		ctx, stop := context.WithCancel(t.Context())
		duty := make(chan error)
		go func() { duty <- transfers.run(ctx) }()
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
		decider.away.Store(true)
		time.Sleep(5 * time.Second)
		release, err := transfers.Acquire(t.Context())
		if err != nil {
			t.Errorf("no transfer without a decider: %v", err)
		}
		release()
		stop()
		<-duty
	})
}
