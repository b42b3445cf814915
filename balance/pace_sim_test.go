package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// The load of the simulation: daemons that learn each other's requests at intervals, and replicas that decode all their streams in
// steps and read the prompts of new ones between two steps, during which the other streams pause.
const (
	paceDaemons       = 62
	paceReplicas      = 8
	paceSlots         = 32
	paceReport        = 746 * time.Millisecond
	paceStep          = 40 * time.Millisecond
	paceStreamCost    = 1200 * time.Microsecond
	paceTokensPerMS   = 20.4
	paceGapTarget     = 300 * time.Millisecond
	paceStartTarget   = 600 * time.Millisecond
	paceRate          = 24.0
	paceEvents        = 75.0
	pacePrompt        = 1000.0
	paceDisturbed     = 20 * time.Second
	paceLength        = 45 * time.Second
	paceCarriesShare  = 0.8
	paceRejectedAbove = 48
)

// paceStream is one stream at a replica.
type paceStream struct {
	daemon    int
	criteria  Criteria
	chosen    Candidate
	events    int
	begun     bool
	lastEvent time.Time
	late      bool
	gaps      int
	gapsSince time.Time
}

// paceReplica is one simulated replica.
type paceReplica struct {
	topology.Incarnation
	speed    float64
	queue    []*paceStream
	running  []*paceStream
	nextStep time.Time
	down     bool
	// failsAbove is the number of streams above which it fails new ones; zero means that it does not.
	failsAbove int
	// work is what it was sent since the simulation or the disturbance began, in ms of a replica of speed one.
	work                                 float64
	sent, failed, lateStarts, latePauses int
	// carriedAt is when it first had its share of the requests sent within a second after the disturbance.
	carriedAt time.Duration
	recent    int
}

// paceSimulation runs daemons and replicas in virtual time.
type paceSimulation struct {
	random    *rand.Rand
	now       time.Time
	balancers []*Balancer
	inFlight  []map[topology.Incarnation]demand.InFlight
	total     map[topology.Incarnation]demand.InFlight
	replicas  []*paceReplica
	holder    *pace.Estimator
	// paced is set if daemons use the paces of replicas.
	paced bool
	rate  float64
}

func newPaceSimulation(paced bool, seed uint64, speeds []float64) *paceSimulation {
	sim := &paceSimulation{random: rand.New(rand.NewPCG(seed, 5)), now: start, holder: pace.NewEstimator(), paced: paced, rate: paceRate, total: map[topology.Incarnation]demand.InFlight{}}
	for daemon := range paceDaemons {
		sim.balancers = append(sim.balancers, New(rand.New(rand.NewPCG(seed, uint64(daemon)))))
		sim.inFlight = append(sim.inFlight, map[topology.Incarnation]demand.InFlight{})
	}
	for number := range paceReplicas {
		sim.replicas = append(sim.replicas, &paceReplica{Incarnation: topology.Incarnation{ID: fmt.Sprintf("r%d", number)}, speed: speeds[number%len(speeds)]})
	}
	return sim
}

// arrive sends one request from a random daemon, at most three times.
func (sim *paceSimulation) arrive() {
	daemon := sim.random.IntN(paceDaemons)
	criteria := Criteria{
		Service: "s", Zone: "near", DaemonIndex: daemon, Tokens: int(pacePrompt * sim.random.ExpFloat64()), FirstEventTarget: paceStartTarget,
		GapTarget: paceGapTarget, MaxLoad: 2, OutputTokens: int(4 * paceEvents), Unhurried: sim.random.IntN(10) == 0,
	}
	var candidates []Candidate
	for _, replica := range sim.replicas {
		candidates = append(candidates, Candidate{Incarnation: replica.Incarnation, Zone: "near", Slots: paceSlots})
	}
	for range 3 {
		chosen, ok := sim.balancers[daemon].Choose(candidates, criteria, sim.now)
		if !ok || sim.send(&paceStream{daemon: daemon, criteria: criteria, chosen: chosen, events: 1 + int(paceEvents*sim.random.ExpFloat64())}) {
			return
		}
		criteria.Exclude = append(criteria.Exclude, chosen.Incarnation)
	}
}

// send sends the stream to its replica, and reports whether that takes it.
func (sim *paceSimulation) send(stream *paceStream) bool {
	replica := sim.replicas[slices.IndexFunc(sim.replicas, func(replica *paceReplica) bool { return replica.Incarnation == stream.chosen.Incarnation })]
	replica.sent++
	replica.recent++
	balancer := sim.balancers[stream.daemon]
	load := len(replica.queue) + len(replica.running)
	switch {
	case replica.down || (replica.failsAbove > 0 && load >= replica.failsAbove):
		replica.failed++
		balancer.EndWait(stream.chosen, stream.criteria, 0, false)
		balancer.Done(replica.Incarnation, true, sim.now)
		return false
	case load >= paceRejectedAbove:
		balancer.ObserveRejection(stream.chosen)
		balancer.Withdraw(stream.chosen, stream.criteria)
		return false
	}
	replica.work += float64(stream.criteria.Tokens)/paceTokensPerMS + float64(stream.events)*float64(paceStreamCost.Milliseconds())
	replica.queue = append(replica.queue, stream)
	sim.count(stream, 1)
	return true
}

// count adds the stream to what its daemon reports, or removes it.
func (sim *paceSimulation) count(stream *paceStream, sign int) {
	for _, counts := range []map[topology.Incarnation]demand.InFlight{sim.inFlight[stream.daemon], sim.total} {
		entry := counts[stream.chosen.Incarnation]
		entry.Running += sign
		counts[stream.chosen.Incarnation] = entry
	}
}

// step runs one step of the replica, and plans the next.
func (sim *paceSimulation) step(replica *paceReplica) {
	if len(replica.queue)+len(replica.running) == 0 || replica.down {
		replica.nextStep = sim.now.Add(10 * time.Millisecond)
		return
	}
	running := replica.running[:0]
	for _, stream := range replica.running {
		sim.observeEvent(replica, stream)
		if stream.events--; stream.events > 0 {
			running = append(running, stream)
			continue
		}
		sim.balancers[stream.daemon].Done(replica.Incarnation, false, sim.now)
		sim.count(stream, -1)
	}
	replica.running = running
	took := paceStep + time.Duration(len(replica.running))*paceStreamCost
	for len(replica.queue) > 0 && len(replica.running) < paceSlots {
		stream := replica.queue[0]
		replica.queue = replica.queue[1:]
		replica.running = append(replica.running, stream)
		took += time.Duration(float64(stream.criteria.Tokens) / paceTokensPerMS * float64(time.Millisecond))
	}
	noise := math.Exp(0.15 * sim.random.NormFloat64())
	replica.nextStep = sim.now.Add(time.Duration(float64(took) * noise / replica.speed))
}

// observeEvent records the next event of the stream at its daemon, as package relay does.
func (sim *paceSimulation) observeEvent(replica *paceReplica, stream *paceStream) {
	balancer := sim.balancers[stream.daemon]
	if !stream.begun {
		wait := sim.now.Sub(stream.chosen.ChosenAt)
		if wait > paceStartTarget {
			replica.lateStarts++
		}
		balancer.EndWait(stream.chosen, stream.criteria, wait, true)
		balancer.ObserveLatency(replica.Incarnation, wait)
		stream.begun, stream.lastEvent, stream.gapsSince = true, sim.now, sim.now
		return
	}
	if gap := sim.now.Sub(stream.lastEvent); gap > paceGapTarget && !stream.late {
		stream.late = true
		replica.latePauses++
		if sim.paced {
			balancer.ObserveLatePause(replica.Incarnation, paceGapTarget)
		}
	}
	stream.lastEvent = sim.now
	stream.gaps++
	if passed := sim.now.Sub(stream.gapsSince); passed >= time.Second {
		if sim.paced {
			balancer.ObserveGap(replica.Incarnation, passed/time.Duration(stream.gaps))
		}
		stream.gaps, stream.gapsSince = 0, sim.now
	}
}

// report exchanges a report of the daemon for the counts and paces of the holder.
func (sim *paceSimulation) report(daemon int) {
	balancer, sums := sim.balancers[daemon], map[topology.Incarnation]demand.InFlight{}
	for incarnation, count := range sim.total {
		sums[incarnation] = count.Minus(sim.inFlight[daemon][incarnation])
	}
	balancer.SetRemoteInFlight(sums)
	if !sim.paced {
		return
	}
	for incarnation, observed := range balancer.TakeObservations(sim.now) {
		sim.holder.Add(incarnation, &observed, sums[incarnation].Running+sim.inFlight[daemon][incarnation].Running, sim.now)
	}
	balancer.SetPaces(sim.holder.Values(sim.now), sim.now)
}

// crash ends all streams of the replica, which fails further ones until it is up again.
func (sim *paceSimulation) crash(replica *paceReplica) {
	replica.down = true
	for _, stream := range slices.Concat(replica.queue, replica.running) {
		if !stream.begun {
			sim.balancers[stream.daemon].EndWait(stream.chosen, stream.criteria, 0, false)
		}
		sim.balancers[stream.daemon].Done(replica.Incarnation, true, sim.now)
		sim.count(stream, -1)
	}
	replica.queue, replica.running = nil, nil
}

// list passes the replicas to all daemons and the holder, as rows of the store do.
func (sim *paceSimulation) list(cold time.Duration, known map[topology.Incarnation]bool) map[topology.Incarnation]bool {
	var listed []topology.Replica
	for _, replica := range sim.replicas {
		listed = append(listed, topology.Replica{Incarnation: replica.Incarnation, Service: "s", Slots: paceSlots, ReceivedAt: sim.now, ColdRemaining: cold})
	}
	if !sim.paced {
		return nil
	}
	for _, balancer := range sim.balancers {
		balancer.SetReplicas(listed, sim.now)
	}
	return pace.BeginStarts(sim.holder, listed, known, sim.now)
}

// run runs until the length, calling disturb at each millisecond.
func (sim *paceSimulation) run(disturb func(passed time.Duration)) {
	next := time.Duration(0)
	for passed := time.Duration(0); passed < paceLength; passed += time.Millisecond {
		sim.now = start.Add(passed)
		disturb(passed)
		for ; next <= passed; next += time.Duration(sim.random.ExpFloat64() / sim.rate * float64(time.Second)) {
			sim.arrive()
		}
		for _, replica := range sim.replicas {
			if !replica.nextStep.After(sim.now) {
				sim.step(replica)
			}
		}
		for daemon := range sim.balancers {
			if (passed+time.Duration(daemon)*12*time.Millisecond)%paceReport == 0 {
				sim.report(daemon)
			}
		}
		if passed%time.Second == 0 {
			sim.observeShares(passed)
		}
	}
}

// observeShares finds the replicas that had their share of the last second's requests.
func (sim *paceSimulation) observeShares(passed time.Duration) {
	sum, speeds := 0, 0.0
	for _, replica := range sim.replicas {
		sum, speeds = sum+replica.recent, speeds+replica.speed
	}
	for _, replica := range sim.replicas {
		if share := float64(sum) * replica.speed / speeds; passed > paceDisturbed && replica.carriedAt == 0 && !replica.down && float64(replica.recent) >= paceCarriesShare*share {
			replica.carriedAt = passed - paceDisturbed
		}
		replica.recent = 0
	}
}

// reset forgets the results so far.
func (sim *paceSimulation) reset() {
	for _, replica := range sim.replicas {
		replica.work, replica.sent, replica.failed, replica.lateStarts, replica.latePauses = 0, 0, 0, 0, 0
	}
}
