package daemon

import (
	"context"
	"sync"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/gateway"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/request"
)

// arrivals counts the arrivals of each target and the requests in progress, and passes requests on to the
// runner.
type arrivals struct {
	runner gateway.Runner
	meter  *meter.Meter
	lock   sync.Mutex
	// counts has an entry for each target requested since the last takeCounts.
	counts map[catalogue.Target]int
	// inFlight is the number of requests for which Do has not returned.
	inFlight int64
}

func newArrivals(runner gateway.Runner, meter *meter.Meter) *arrivals {
	return &arrivals{runner: runner, meter: meter, counts: map[catalogue.Target]int{}}
}

// Do counts the request, runs it and returns the error of the runner. Calls of plain services are counted as
// in flight, but not as arrivals.
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

// running returns the number of requests in flight in the daemon.
func (arrivals *arrivals) running() int64 {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	return arrivals.inFlight
}

// takeCounts returns the arrivals since the last takeCounts and resets them.
func (arrivals *arrivals) takeCounts() map[catalogue.Target]int {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	taken := arrivals.counts
	arrivals.counts = map[catalogue.Target]int{}
	return taken
}

// restoreCounts adds counts that could not be reported, so that the next report has them.
func (arrivals *arrivals) restoreCounts(counts map[catalogue.Target]int) {
	arrivals.lock.Lock()
	defer arrivals.lock.Unlock()
	for target, count := range counts {
		arrivals.counts[target] += count
	}
}
