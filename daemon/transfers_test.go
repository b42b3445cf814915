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

// fakeGranter is a decider that also grants one transfer to another daemon, and that can be unavailable.
type fakeGranter struct {
	grants      *permit.Allocator
	total       int
	unavailable atomic.Bool
}

func (granter *fakeGranter) requestGrant(_ context.Context, request peer.GrantRequest) (peer.Grant, error) {
	if granter.unavailable.Load() {
		return peer.Grant{}, errors.New("unavailable")
	}
	granter.grants.Update("other", permit.Report{Waiting: 1}, granter.total+1, time.Now())
	allocation := granter.grants.Update("this", permit.Report(request), granter.total+1, time.Now())
	return peer.Grant{Decides: true, Sequence: allocation.Sequence, Transfers: allocation.Transfers, Lasts: allocation.Lasts}, nil
}

// TestTransfersStayWithinGrant runs more transfers than are granted, some of which time out while they
// wait, and then one without a decider.
func TestTransfersStayWithinGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const share, users = 3, 40
		decider := &fakeGranter{grants: permit.NewAllocator(time.Second), total: share}
		transfers := newTransfers(decider, clock.RealClock{}, func() int { return 1 })
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- transfers.run(ctx) }()
		var inFlight, peak, timedOut atomic.Int64
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
					timedOut.Add(1)
					return
				}
				raise(&peak, inFlight.Add(1))
				time.Sleep(20 * time.Millisecond)
				inFlight.Add(-1)
				release()
				release()
			})
		}
		done.Wait()
		if peak.Load() != share {
			t.Errorf("%d transfers in flight, the grant is %d", peak.Load(), share)
		}
		if transfers.inFlight != 0 || len(transfers.waiting) != 0 {
			t.Errorf("%d in flight and %d waiting at the end", transfers.inFlight, len(transfers.waiting))
		}
		if timedOut.Load() == 0 || timedOut.Load() > users/2 {
			t.Errorf("%d of %d timed out", timedOut.Load(), users)
		}
		decider.unavailable.Store(true)
		time.Sleep(5 * time.Second)
		release, err := transfers.Acquire(t.Context())
		if err != nil {
			t.Errorf("no transfer without a decider: %v", err)
		}
		release()
		stop()
		<-ended
	})
}

// raise sets the highest value to the given one if that is higher.
func raise(highest *atomic.Int64, value int64) {
	known := highest.Load()
	for value > known && !highest.CompareAndSwap(known, value) {
		known = highest.Load()
	}
}
