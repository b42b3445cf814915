package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// The load of a model whose demand exceeds its only replica: many daemons that learn each other's load with a delay,
// twice as many arrivals as the replica can start, and clients that disconnect after clientTimeout.
const (
	overloadDaemons  = 28
	arrivalInterval  = 50 * time.Millisecond
	startInterval    = 100 * time.Millisecond
	runTime          = time.Second
	reportInterval   = 500 * time.Millisecond
	clientTimeout    = 2 * time.Second
	firstEventTarget = 500 * time.Millisecond
	simulationStep   = 10 * time.Millisecond
	simulationTime   = 60 * time.Second
)

// simulatedRequest is one request at the replica.
type simulatedRequest struct {
	daemon   int
	criteria Criteria
	chosen   Candidate
	begun    time.Time
}

// simulation models the replica and the daemons that send to it.
type simulation struct {
	balancers []*Balancer
	random    *rand.Rand
	now       time.Time
	queue     []*simulatedRequest
	running   []*simulatedRequest
	// inTime and late count the requests that started within firstEventTarget and after it.
	inTime, late int
}

func newSimulation() *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(1, 2)), now: start}
	for seed := range overloadDaemons {
		sim.balancers = append(sim.balancers, New(rand.New(rand.NewPCG(uint64(seed), 7))))
	}
	return sim
}

// arrive sends a request from a random daemon, unless its balancer finds no capacity.
func (sim *simulation) arrive() {
	daemon := sim.random.IntN(overloadDaemons)
	criteria := Criteria{Zone: "near", Tokens: 100, FirstEventTarget: firstEventTarget, AdmissionQuantile: sim.random.Float64(), MaxLoad: 2}
	if chosen, ok := sim.balancers[daemon].Choose(replicas(1), criteria, sim.now); ok {
		sim.queue = append(sim.queue, &simulatedRequest{daemon: daemon, criteria: criteria, chosen: chosen})
	}
}

// startNext gives the first waiting request its first event.
func (sim *simulation) startNext() {
	if len(sim.queue) == 0 {
		return
	}
	next := sim.queue[0]
	sim.queue = sim.queue[1:]
	next.begun = sim.now
	wait := sim.now.Sub(next.chosen.ChosenAt)
	sim.balancers[next.daemon].EndWait(next.chosen, next.criteria, wait, true)
	sim.running = append(sim.running, next)
	if wait <= firstEventTarget {
		sim.inTime++
		return
	}
	sim.late++
}

// finish ends the requests whose clients have disconnected and those that are complete.
func (sim *simulation) finish() {
	for len(sim.queue) > 0 && sim.now.Sub(sim.queue[0].chosen.ChosenAt) >= clientTimeout {
		abandoned := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.balancers[abandoned.daemon].EndWait(abandoned.chosen, abandoned.criteria, clientTimeout, false)
		sim.balancers[abandoned.daemon].Cancel(abandoned.chosen.Incarnation)
	}
	for len(sim.running) > 0 && sim.now.Sub(sim.running[0].begun) >= runTime {
		done := sim.running[0]
		sim.running = sim.running[1:]
		sim.balancers[done.daemon].Done(done.chosen.Incarnation, false, sim.now)
	}
}

// reportLoads gives each daemon the requests in flight of the others.
func (sim *simulation) reportLoads() {
	all := demand.InFlight{Running: len(sim.queue) + len(sim.running)}
	all.Waiting[0] = len(sim.queue)
	replica := replicas(1)[0].Incarnation
	for number, balancer := range sim.balancers {
		own := demand.InFlight{}
		for _, waiting := range sim.queue {
			if waiting.daemon == number {
				own = own.Plus(demand.OneWaiting(0))
			}
		}
		others := all
		others.Running -= own.Running
		others.Waiting[0] -= own.Waiting[0]
		balancer.SetRemoteInFlight(map[topology.Incarnation]demand.InFlight{replica: others})
	}
}

// TestOverloadedModelStartsRequestsInTime checks that the replica stays busy and that most requests that it starts
// get their first event within the target.
func TestOverloadedModelStartsRequestsInTime(t *testing.T) {
	sim := newSimulation()
	for passed := simulationStep; passed <= simulationTime; passed += simulationStep {
		sim.now = start.Add(passed)
		sim.finish()
		if passed%startInterval == 0 {
			sim.startNext()
		}
		if passed%arrivalInterval == 0 {
			sim.arrive()
		}
		if passed%reportInterval == 0 {
			sim.reportLoads()
		}
	}
	possible := int(simulationTime / startInterval)
	if begun := sim.inTime + sim.late; begun < possible*9/10 {
		t.Errorf("%d requests started, the replica could start %d", begun, possible)
	}
	if sim.inTime < sim.late {
		t.Errorf("%d requests started in time, %d late", sim.inTime, sim.late)
	}
}

// TestUrgentRequestsDoNotWaitForOthers covers a replica that is overloaded with requests of a lower priority.
func TestUrgentRequestsDoNotWaitForOthers(t *testing.T) {
	balancer := New(rand.New(rand.NewPCG(1, 7)))
	low := Criteria{Zone: "near", Priority: 2, FirstEventTarget: firstEventTarget, MaxLoad: 9}
	for range 8 {
		if chosen, ok := balancer.Choose(replicas(1), low, start); ok {
			balancer.EndWait(chosen, low, 5*time.Second, true)
			balancer.Choose(replicas(1), low, start)
		}
	}
	if _, ok := balancer.Choose(replicas(1), low, start); ok {
		t.Error("a request was sent though the expected wait is too long")
	}
	urgent := Criteria{Zone: "near", Priority: 0, FirstEventTarget: firstEventTarget, MaxLoad: 9}
	if _, ok := balancer.Choose(replicas(1), urgent, start); !ok {
		t.Error("an urgent request was refused because of others of a lower priority")
	}
}
