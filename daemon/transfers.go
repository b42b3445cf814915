package daemon

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/peer"
)

const (
	// transfersWaitingInterval is the interval of reports while a transfer waits for a grant.
	transfersWaitingInterval = 100 * time.Millisecond
	// transfersInterval is the interval of reports while no transfer waits.
	transfersInterval = time.Second
)

// granter grants adapter transfers. It fails if no decider responds.
type granter interface {
	requestGrant(ctx context.Context, request peer.GrantRequest) (peer.Grant, error)
}

// transfers limits the adapter transfers of this daemon to the number that the decider grants. Without a
// decider it uses a fixed limit for each daemon.
type transfers struct {
	clock   clock.Clock
	granter granter
	// fallbackLimit returns the limit without a decider; less than one counts as one.
	fallbackLimit func() int
	lock          sync.Mutex
	// inFlight does not exceed the limit when a transfer starts; it can when a new grant is smaller.
	inFlight int
	// waiting are closed in their order as transfers start.
	waiting []chan struct{}
	// grant is the newest grant, which is valid until grantExpires.
	grant        peer.Grant
	grantExpires time.Time
	// deciderLost is true if no decider responded to the last report.
	deciderLost bool
	// wake has room for one signal, which triggers a report before the interval ends.
	wake chan struct{}
}

func newTransfers(granter granter, clock clock.Clock, fallbackLimit func() int) *transfers {
	return &transfers{clock: clock, granter: granter, fallbackLimit: fallbackLimit, wake: make(chan struct{}, 1)}
}

// Acquire waits until a transfer may start, or fails when ctx ends. The caller must call release when the
// transfer has ended; further calls of it have no effect.
func (transfers *transfers) Acquire(ctx context.Context) (release func(), err error) {
	started := transfers.enqueue()
	select {
	case <-started:
		return sync.OnceFunc(transfers.release), nil
	case <-ctx.Done():
		transfers.cancel(started)
		return nil, ctx.Err()
	}
}

// enqueue adds a waiter, and returns a channel that is closed when its transfer may start.
func (transfers *transfers) enqueue() chan struct{} {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	started := make(chan struct{})
	transfers.waiting = append(transfers.waiting, started)
	transfers.start()
	if len(transfers.waiting) > 0 {
		select {
		case transfers.wake <- struct{}{}:
		default:
		}
	}
	return started
}

// cancel removes a waiter. If its transfer has started meanwhile, it is released.
func (transfers *transfers) cancel(started chan struct{}) {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	for index, waiting := range transfers.waiting {
		if waiting == started {
			transfers.waiting = append(transfers.waiting[:index], transfers.waiting[index+1:]...)
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

// start starts waiting transfers up to the limit. The caller holds the lock.
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
	if transfers.clock.Now().Before(transfers.grantExpires) {
		return transfers.grant.Transfers
	}
	if transfers.deciderLost {
		return max(1, transfers.fallbackLimit())
	}
	return 0
}

// run reports to the decider until ctx ends.
func (transfers *transfers) run(ctx context.Context) error {
	for {
		select {
		case <-transfers.wake:
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
		return transfersWaitingInterval
	}
	return transfersInterval
}

// report requests a new grant, unless there are neither transfers nor a grant to return.
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
	grant, err := transfers.granter.requestGrant(ctx, request)
	transfers.apply(grant, err)
}

// apply stores the new grant, or records that no decider responded, and starts transfers that are now
// within the limit.
func (transfers *transfers) apply(grant peer.Grant, err error) {
	transfers.lock.Lock()
	defer transfers.lock.Unlock()
	transfers.deciderLost = err != nil
	if err == nil {
		transfers.grant = grant
		transfers.grantExpires = transfers.clock.Now().Add(grant.Lasts)
	}
	transfers.start()
}
