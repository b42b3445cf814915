package daemon

import (
	"context"
	"sync"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/gateway"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/request"
)

// arrivals counts the requests of each target on their way to the runner.
type arrivals struct {
	runner gateway.Runner
	meter  *meter.Meter
	lock   sync.Mutex
	// counts has an entry for each target that was asked for since the last take.
	counts map[catalogue.Target]int
	// inFlight is the number of requests between begin and end of Do.
	inFlight int64
}

func newArrivals(runner gateway.Runner, meter *meter.Meter) *arrivals {
	return &arrivals{runner: runner, meter: meter, counts: map[catalogue.Target]int{}}
}

// Do counts the request and runs it.
func (arrivals *arrivals) Do(ctx context.Context, req request.Request, sink request.Sink) error {
	arrivals.begin(req)
	defer arrivals.end()
	return arrivals.runner.Do(ctx, req, sink)
}

func (arrivals *arrivals) begin(req request.Request) {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	arrivals.inFlight++
	arrivals.meter.Set(meter.InFlight, meter.Labels{}, arrivals.inFlight)
	if req.API != request.ServiceCall {
		arrivals.counts[req.Target]++
	}
}

func (arrivals *arrivals) end() {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	arrivals.inFlight--
	arrivals.meter.Set(meter.InFlight, meter.Labels{}, arrivals.inFlight)
}

// running returns the number of requests in the daemon.
func (arrivals *arrivals) running() int64 {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	return arrivals.inFlight
}

// take returns the counts since the last take.
func (arrivals *arrivals) take() map[catalogue.Target]int {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	taken := arrivals.counts
	arrivals.counts = map[catalogue.Target]int{}
	return taken
}

// giveBack adds counts that could not be delivered.
func (arrivals *arrivals) giveBack(counts map[catalogue.Target]int) {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	for target, count := range counts {
		arrivals.counts[target] += count
	}
}
