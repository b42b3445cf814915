package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer"
)

const (
	// transfersBusy is the interval of reports while a transfer waits for a grant.
	transfersBusy = 100 * time.Millisecond
	// transfersRest is the interval of reports while transfers are granted.
	transfersRest = time.Second
)

// granter gives transfers of adapters.
type granter interface {
	askGrant(ctx context.Context, request peer.GrantRequest) (peer.Grant, error)
}

// transfers bounds the adapter transfers of this daemon by what the decider grants. Without a decider
// it uses a part that is fixed for each daemon.
type transfers struct {
	clock   clock.Clock
	granter granter
	// alone returns the fixed part, at least one.
	alone func() int
	lock  sync.Mutex
	// inFlight is at most the limit at the time of the last start.
	inFlight int
	// waiting are closed in order as transfers start.
	waiting []chan struct{}
	// grant is the newest grant and until the end of it.
	grant peer.Grant
	until time.Time
	// lost states that no decider answered the last report.
	lost bool
	// hurry has room for one signal.
	hurry chan struct{}
}

func newTransfers(granter granter, clock clock.Clock, alone func() int) *transfers {
	return &transfers{clock: clock, granter: granter, alone: alone, hurry: make(chan struct{}, 1)}
}

// Acquire waits for a transfer until ctx ends. The transfer is given back by calling release.
func (transfers *transfers) Acquire(ctx context.Context) (release func(), err error) {
	started := transfers.enqueue()
	select {
	case <-started:
		return sync.OnceFunc(transfers.release), nil
	case <-ctx.Done():
		transfers.abandon(started)
		return nil, ctx.Err()
	}
}

func (transfers *transfers) enqueue() chan struct{} {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	started := make(chan struct{})
	transfers.waiting = append(transfers.waiting, started)
	transfers.start()
	if len(transfers.waiting) > 0 {
		select {
		case transfers.hurry <- struct{}{}:
		default:
		}
	}
	return started
}

// abandon withdraws a wait. A transfer that started meanwhile is given back.
func (transfers *transfers) abandon(started chan struct{}) {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	for place, waiting := range transfers.waiting {
		if waiting == started {
			transfers.waiting = append(transfers.waiting[:place], transfers.waiting[place+1:]...)
			return
		}
	}
	transfers.inFlight--
	transfers.start()
}

func (transfers *transfers) release() {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	transfers.inFlight--
	transfers.start()
}

// start starts waiting transfers while the limit has room. The caller holds the lock.
func (transfers *transfers) start() {
	limit := transfers.limit()
	for len(transfers.waiting) > 0 && transfers.inFlight < limit {
		close(transfers.waiting[0])
		transfers.waiting = transfers.waiting[1:]
		transfers.inFlight++
	}
}

// limit returns the number of transfers that may be in flight now. The caller holds the lock.
func (transfers *transfers) limit() int {
	if transfers.clock.Now().Before(transfers.until) {
		return transfers.grant.Transfers
	}
	if transfers.lost {
		return max(1, transfers.alone())
	}
	return 0
}

// run reports to the decider while there are transfers, until ctx ends.
func (transfers *transfers) run(ctx context.Context) error {
	for {
		select {
		case <-transfers.hurry:
		case <-transfers.clock.After(transfers.interval()):
		case <-ctx.Done():
			return ctx.Err()
		}
		transfers.report(ctx)
	}
}

func (transfers *transfers) interval() time.Duration {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	if len(transfers.waiting) > 0 {
		return transfersBusy
	}
	return transfersRest
}

// report asks for a new grant, if there are transfers or a grant to give back.
func (transfers *transfers) report(ctx context.Context) {
	transfers.lock.Lock()
	request := peer.GrantRequest{Sequence: transfers.grant.Sequence, InFlight: transfers.inFlight, Waiting: len(transfers.waiting)}
	idle := request.InFlight+request.Waiting == 0 && transfers.grant.Transfers == 0
	transfers.lock.Unlock()
	if idle {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	grant, err := transfers.granter.askGrant(ctx, request)
	transfers.take(grant, err)
}

func (transfers *transfers) take(grant peer.Grant, err error) {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	transfers.lost = err != nil
	if err == nil {
		transfers.grant = grant
		transfers.until = transfers.clock.Now().Add(grant.Lasts)
	}
	transfers.start()
}
