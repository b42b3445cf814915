package daemon

import (
	"context"
	"sync"
)

// transfers bounds the adapter transfers of this daemon by its share of the weight store's limit.
type transfers struct {
	// share returns the number of transfers that this daemon may have in flight, at least one.
	share func() int
	lock  sync.Mutex
	// inFlight is at most the share at the time of the last grant.
	inFlight int
	// waiting are closed in order as transfers are granted.
	waiting []chan struct{}
}

// Acquire waits for a transfer until ctx ends. The transfer is given back by calling release.
func (transfers *transfers) Acquire(ctx context.Context) (release func(), err error) {
	granted := transfers.enqueue()
	select {
	case <-granted:
		return sync.OnceFunc(transfers.release), nil
	case <-ctx.Done():
		transfers.abandon(granted)
		return nil, ctx.Err()
	}
}

func (transfers *transfers) enqueue() chan struct{} {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	granted := make(chan struct{})
	transfers.waiting = append(transfers.waiting, granted)
	transfers.grant()
	return granted
}

// abandon withdraws a wait. A transfer that was granted meanwhile is given back.
func (transfers *transfers) abandon(granted chan struct{}) {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	for place, waiting := range transfers.waiting {
		if waiting == granted {
			transfers.waiting = append(transfers.waiting[:place], transfers.waiting[place+1:]...)
			return
		}
	}
	transfers.inFlight--
	transfers.grant()
}

func (transfers *transfers) release() {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	transfers.inFlight--
	transfers.grant()
}

// grant starts waiting transfers while the share has room. The caller holds the lock.
func (transfers *transfers) grant() {
	share := max(1, transfers.share())
	for len(transfers.waiting) > 0 && transfers.inFlight < share {
		close(transfers.waiting[0])
		transfers.waiting = transfers.waiting[1:]
		transfers.inFlight++
	}
}
