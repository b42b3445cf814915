package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/queue"
	"github.com/bronzestall/bronzestall/request"
)

// lane holds the requests of one model or service. The mutex of the dispatcher guards it.
type lane struct {
	// target names the model; it is empty for a service.
	target catalogue.Target
	// look returns what can serve the lane now.
	look func() (Snapshot, error)
	// queue holds the first attempts in fair order.
	queue *queue.Queue[*waiter]
	// special holds suspects and second attempts, which take the first place that fits them.
	special *queue.Queue[*waiter]
	// rate is how long requests hold their places.
	rate queue.Rate
	// running is the number of granted places, and tenants their number by tenant, without zeros.
	running int
	tenants map[string]int
	// peaks holds the peaks of the tenants that were active lately.
	peaks map[string]peak
	// shares is the sum of the shares of the tenants in peaks.
	shares int
	// suspects is the number of granted places of suspects.
	suspects int
	// minded states that a goroutine looks after the waiting requests.
	minded bool
	// emptied is closed when minded turns false.
	emptied chan struct{}
	// used is the time of the last change.
	used time.Time
}

// laneName returns the key of the lane of the request.
func laneName(req *request.Request) string {
	if req.API == request.ServiceCall {
		return "service/" + req.Service
	}
	return "model/" + req.Target.Model
}

// lane returns the lane of the request, made if need be. The mutex is held.
func (dispatcher *Dispatcher) lane(req *request.Request) *lane {
	name := laneName(req)
	found, ok := dispatcher.lanes[name]
	if !ok {
		found = dispatcher.newLane(req)
		dispatcher.lanes[name] = found
	}
	found.used = dispatcher.clock.Now()
	return found
}

// newLane returns an empty lane for requests like this one.
func (dispatcher *Dispatcher) newLane(req *request.Request) *lane {
	made := &lane{
		tenants: map[string]int{},
		peaks:   map[string]peak{},
		queue:   queue.New[*waiter](dispatcher.settings.PerModel),
		special: queue.New[*waiter](dispatcher.settings.PerModel),
	}
	if req.API == request.ServiceCall {
		service := req.Service
		made.look = func() (Snapshot, error) { return dispatcher.deps.Fleet.Service(service) }
		return made
	}
	made.target = catalogue.Target{Model: req.Target.Model}
	made.look = func() (Snapshot, error) { return dispatcher.deps.Fleet.Replicas(made.target) }
	return made
}

// line returns the queue of the lane that the request waits in.
func (lane *lane) line(waiting *entry) *queue.Queue[*waiter] {
	if waiting.Item.special {
		return lane.special
	}
	return lane.queue
}

// waiting returns the number of waiting requests.
func (lane *lane) waiting() int {
	return lane.queue.Len() + lane.special.Len()
}

// enterQueue counts a request into the queues. The mutex is held.
func (dispatcher *Dispatcher) enterQueue(waiting *entry) {
	dispatcher.waiting++
	dispatcher.waitingOf[waiting.Tenant]++
}

// leaveQueue counts a request out of the queues after it was removed from its lane. The mutex is held.
func (dispatcher *Dispatcher) leaveQueue(lane *lane, left *entry) {
	dispatcher.waiting--
	dispatcher.waitingOf[left.Tenant]--
	if dispatcher.waitingOf[left.Tenant] == 0 {
		delete(dispatcher.waitingOf, left.Tenant)
	}
	dispatcher.notice(lane, left.Tenant)
	if lane.minded && lane.waiting() == 0 {
		lane.minded = false
		close(lane.emptied)
	}
}

// leave counts a running request of the tenant out.
func (lane *lane) leave(tenant string) {
	lane.tenants[tenant]--
	if lane.tenants[tenant] == 0 {
		delete(lane.tenants, tenant)
	}
}

// begin estimates the time until the answer begins to a request that leaves the queue after that many
// tokens, and false if nothing was measured yet. The wait is doubled, so that few requests are given up
// after they waited long.
func (lane *lane) begin(tokens float64) (time.Duration, bool) {
	wait, known := lane.rate.Wait(tokens, lane.running)
	return 2*wait + lane.rate.Begin(), known
}

// idle reports whether the lane holds nothing.
func (lane *lane) idle() bool {
	return lane.waiting() == 0 && lane.running == 0 && !lane.minded
}
