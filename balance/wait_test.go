package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// The load pattern of a model whose demand rises beyond its only replica: many daemons that learn of each
// other late, twice as many arrivals as the replica begins, and callers who leave after a while.
const (
	risingDaemons  = 28
	risingArrivals = 50 * time.Millisecond
	risingBegins   = 100 * time.Millisecond
	risingRuns     = time.Second
	risingLag      = 500 * time.Millisecond
	risingPatience = 2 * time.Second
	risingAim      = 500 * time.Millisecond
	risingStep     = 10 * time.Millisecond
	risingLength   = 60 * time.Second
)

// sending is one request at the replica.
type sending struct {
	daemon int
	ask    Ask
	chosen Candidate
	begun  time.Time
}

// rising is the replica with the daemons that send to it.
type rising struct {
	balancers []*Balancer
	random    *rand.Rand
	now       time.Time
	queue     []*sending
	running   []*sending
	// inTime and late count the requests that began within the aim and after it.
	inTime, late int
}

func newRising() *rising {
	site := &rising{random: rand.New(rand.NewPCG(1, 2)), now: start}
	for seed := range risingDaemons {
		site.balancers = append(site.balancers, New(rand.New(rand.NewPCG(uint64(seed), 7))))
	}
	return site
}

// arrive sends a request of a random daemon, unless that refuses it.
func (site *rising) arrive() {
	daemon := site.random.IntN(risingDaemons)
	ask := Ask{Zone: "near", Tokens: 100, Aim: risingAim, Luck: site.random.Float64(), Fullest: 2}
	if chosen, ok := site.balancers[daemon].Choose(replicas(1), ask, site.now); ok {
		site.queue = append(site.queue, &sending{daemon: daemon, ask: ask, chosen: chosen})
	}
}

// begin gives the first waiting request its first event.
func (site *rising) begin() {
	if len(site.queue) == 0 {
		return
	}
	next := site.queue[0]
	site.queue = site.queue[1:]
	next.begun = site.now
	wait := site.now.Sub(next.chosen.Sent)
	site.balancers[next.daemon].Begun(next.chosen, next.ask, wait, true)
	site.running = append(site.running, next)
	if wait <= risingAim {
		site.inTime++
		return
	}
	site.late++
}

// leave ends the requests whose callers have left and those that ran.
func (site *rising) leave() {
	for len(site.queue) > 0 && site.now.Sub(site.queue[0].chosen.Sent) >= risingPatience {
		gone := site.queue[0]
		site.queue = site.queue[1:]
		site.balancers[gone.daemon].Begun(gone.chosen, gone.ask, risingPatience, false)
		site.balancers[gone.daemon].Withdraw(gone.chosen.Incarnation)
	}
	for len(site.running) > 0 && site.now.Sub(site.running[0].begun) >= risingRuns {
		done := site.running[0]
		site.running = site.running[1:]
		site.balancers[done.daemon].Done(done.chosen.Incarnation, false, site.now)
	}
}

// tell lets each daemon know the requests of the others.
func (site *rising) tell() {
	all := demand.InFlight{Running: len(site.queue) + len(site.running)}
	all.Waiting[0] = len(site.queue)
	replica := replicas(1)[0].Incarnation
	for number, balancer := range site.balancers {
		own := demand.InFlight{}
		for _, waiting := range site.queue {
			if waiting.daemon == number {
				own = own.Plus(demand.OneWaiting(0))
			}
		}
		others := all
		others.Running -= own.Running
		others.Waiting[0] -= own.Waiting[0]
		balancer.SetOthers(map[topology.Incarnation]demand.InFlight{replica: others})
	}
}

// TestRisingModelBeginsInTime checks that the replica stays busy and that most of what it begins is
// begun while callers still count it as in time.
func TestRisingModelBeginsInTime(t *testing.T) {
	site := newRising()
	for passed := risingStep; passed <= risingLength; passed += risingStep {
		site.now = start.Add(passed)
		site.leave()
		if passed%risingBegins == 0 {
			site.begin()
		}
		if passed%risingArrivals == 0 {
			site.arrive()
		}
		if passed%risingLag == 0 {
			site.tell()
		}
	}
	most := int(risingLength / risingBegins)
	if begun := site.inTime + site.late; begun < most*9/10 {
		t.Errorf("%d requests began, the replica could begin %d", begun, most)
	}
	if site.inTime < site.late {
		t.Errorf("%d requests began in time, %d late", site.inTime, site.late)
	}
}

// TestUrgentRequestsDoNotWaitForOthers fills a replica with requests of a lower rank.
func TestUrgentRequestsDoNotWaitForOthers(t *testing.T) {
	balancer := New(rand.New(rand.NewPCG(1, 7)))
	low := Ask{Zone: "near", Rank: 2, Aim: risingAim, Fullest: 9}
	for range 8 {
		if chosen, ok := balancer.Choose(replicas(1), low, start); ok {
			balancer.Begun(chosen, low, 5*time.Second, true)
			balancer.Choose(replicas(1), low, start)
		}
	}
	if _, ok := balancer.Choose(replicas(1), low, start); ok {
		t.Error("a request was sent behind others that wait too long")
	}
	urgent := Ask{Zone: "near", Rank: 0, Aim: risingAim, Fullest: 9}
	if _, ok := balancer.Choose(replicas(1), urgent, start); !ok {
		t.Error("an urgent request was held up by others of a lower rank")
	}
}
