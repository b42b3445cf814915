package pacesim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// The load of the simulation.
const (
	daemons        = 62
	replicaCount   = 8
	slots          = 32
	reportInterval = 746 * time.Millisecond
	// reportOffset is the time between the reports of two daemons.
	reportOffset = 12 * time.Millisecond
	// A step takes stepTime and streamCost for each stream, and reading a prompt the time for its tokens.
	stepTime             = 40 * time.Millisecond
	streamCost           = 1200 * time.Microsecond
	tokensPerMillisecond = 20.4
	gapTarget            = 300 * time.Millisecond
	startTarget          = 600 * time.Millisecond
	// requestRate is the number of requests per second.
	requestRate = 24.0
	// meanEvents and meanPrompt are the mean numbers of events of a stream and of tokens of a prompt.
	meanEvents = 75.0
	meanPrompt = 1000.0
	// disturbedAt is when a case begins, and length when it ends.
	disturbedAt = 20 * time.Second
	length      = 45 * time.Second
	// carriedShare is the part of its share of the requests from which a replica counts as carrying it.
	carriedShare = 0.8
	// rejectedAbove is the number of requests from which a replica rejects further ones.
	rejectedAbove = 48
)

// start is when a simulation begins.
var start = time.Unix(1000, 0)

// stream is one stream at a replica.
type stream struct {
	daemon    int
	criteria  balance.Criteria
	chosen    balance.Candidate
	events    int
	begun     bool
	lastEvent time.Time
	late      bool
	gaps      int
	gapsSince time.Time
}

// replica is one simulated replica.
type replica struct {
	topology.Incarnation
	speed    float64
	queue    []*stream
	running  []*stream
	nextStep time.Time
	down     bool
	// failsAbove is the number of streams above which it fails new ones; zero means that it does not.
	failsAbove int
	// work is what it was sent since the simulation or the disturbance began, in ms of a replica of speed one.
	work                                        float64
	sent, failed, began, lateStarts, latePauses int
	// carriedAt is when it first had its share of the requests sent within a second after the disturbance.
	carriedAt time.Duration
	recent    int
}

// simulation runs daemons and replicas in virtual time.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	balancers []*balance.Balancer
	inFlight  []map[topology.Incarnation]demand.InFlight
	total     map[topology.Incarnation]demand.InFlight
	replicas  []*replica
	holder    *pace.Estimator
	starts    pace.Starts
	// paced is set if daemons use the paces of replicas.
	paced bool
	rate  float64
}

func newSimulation(paced bool, seed uint64, speeds []float64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 5)), now: start, holder: pace.NewEstimator(), paced: paced, rate: requestRate, total: map[topology.Incarnation]demand.InFlight{}}
	for daemon := range daemons {
		sim.balancers = append(sim.balancers, balance.New(rand.New(rand.NewPCG(seed, uint64(daemon)))))
		sim.inFlight = append(sim.inFlight, map[topology.Incarnation]demand.InFlight{})
	}
	for number := range replicaCount {
		sim.replicas = append(sim.replicas, &replica{Incarnation: topology.Incarnation{ID: fmt.Sprintf("r%d", number)}, speed: speeds[number%len(speeds)]})
	}
	return sim
}

// arrive sends one request from a random daemon, at most three times.
func (sim *simulation) arrive() {
	daemon := sim.random.IntN(daemons)
	criteria := balance.Criteria{
		Service: "s", Zone: "near", DaemonIndex: daemon, Tokens: int(meanPrompt * sim.random.ExpFloat64()), FirstEventTarget: startTarget,
		GapTarget: gapTarget, MaxLoad: 2, OutputTokens: int(4 * meanEvents), Unhurried: sim.random.IntN(10) == 0,
	}
	var candidates []balance.Candidate
	for _, replica := range sim.replicas {
		candidates = append(candidates, balance.Candidate{Incarnation: replica.Incarnation, Zone: "near", Slots: slots})
	}
	for range 3 {
		chosen, ok := sim.balancers[daemon].Choose(candidates, criteria, sim.now)
		if !ok || sim.send(&stream{daemon: daemon, criteria: criteria, chosen: chosen, events: 1 + int(meanEvents*sim.random.ExpFloat64())}) {
			return
		}
		criteria.Exclude = append(criteria.Exclude, chosen.Incarnation)
	}
}

// send sends the stream to its replica, and reports whether that takes it.
func (sim *simulation) send(stream *stream) bool {
	replica := sim.replicas[slices.IndexFunc(sim.replicas, func(replica *replica) bool { return replica.Incarnation == stream.chosen.Incarnation })]
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
	case load >= rejectedAbove:
		balancer.ObserveRejection(stream.chosen)
		balancer.Withdraw(stream.chosen, stream.criteria)
		return false
	}
	replica.work += float64(stream.criteria.Tokens)/tokensPerMillisecond + float64(stream.events)*float64(streamCost.Milliseconds())
	replica.queue = append(replica.queue, stream)
	sim.count(stream, 1)
	return true
}

// count adds the stream to what its daemon reports, or removes it.
func (sim *simulation) count(stream *stream, sign int) {
	for _, counts := range []map[topology.Incarnation]demand.InFlight{sim.inFlight[stream.daemon], sim.total} {
		entry := counts[stream.chosen.Incarnation]
		entry.Running += sign
		counts[stream.chosen.Incarnation] = entry
	}
}

// step runs one step of the replica, and plans the next.
func (sim *simulation) step(replica *replica) {
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
	took := stepTime + time.Duration(len(replica.running))*streamCost
	for len(replica.queue) > 0 && len(replica.running) < slots {
		stream := replica.queue[0]
		replica.queue = replica.queue[1:]
		replica.running = append(replica.running, stream)
		took += time.Duration(float64(stream.criteria.Tokens) / tokensPerMillisecond * float64(time.Millisecond))
	}
	noise := math.Exp(0.15 * sim.random.NormFloat64())
	replica.nextStep = sim.now.Add(time.Duration(float64(took) * noise / replica.speed))
}

// observeEvent records the next event of the stream at its daemon, as package relay does.
func (sim *simulation) observeEvent(replica *replica, stream *stream) {
	balancer := sim.balancers[stream.daemon]
	if !stream.begun {
		wait := sim.now.Sub(stream.chosen.ChosenAt)
		if wait > startTarget {
			replica.lateStarts++
		}
		balancer.EndWait(stream.chosen, stream.criteria, wait, true)
		balancer.ObserveLatency(replica.Incarnation, wait)
		replica.began++
		stream.begun, stream.lastEvent, stream.gapsSince = true, sim.now, sim.now
		return
	}
	if gap := sim.now.Sub(stream.lastEvent); gap > gapTarget && !stream.late {
		stream.late = true
		replica.latePauses++
		if sim.paced {
			balancer.ObserveLatePause(replica.Incarnation, gapTarget)
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
func (sim *simulation) report(daemon int) {
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
func (sim *simulation) crash(replica *replica) {
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
func (sim *simulation) list(cold time.Duration) {
	var listed []topology.Replica
	for _, replica := range sim.replicas {
		listed = append(listed, topology.Replica{Incarnation: replica.Incarnation, Service: "s", Slots: slots, ReceivedAt: sim.now, ColdRemaining: cold})
	}
	if !sim.paced {
		return
	}
	for _, balancer := range sim.balancers {
		balancer.SetReplicas(listed, sim.now)
	}
	sim.starts.Observe(sim.holder, listed, sim.now)
}

// run runs until the length, calling disturb at each millisecond.
func (sim *simulation) run(disturb func(passed time.Duration)) {
	next := time.Duration(0)
	for passed := time.Duration(0); passed < length; passed += time.Millisecond {
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
			if (passed+time.Duration(daemon)*reportOffset)%reportInterval == 0 {
				sim.report(daemon)
			}
		}
		if passed%time.Second == 0 {
			sim.observeShares(passed)
		}
	}
}

// observeShares finds the replicas that had their share of the last second's requests.
func (sim *simulation) observeShares(passed time.Duration) {
	sum, speeds := 0, 0.0
	for _, replica := range sim.replicas {
		sum, speeds = sum+replica.recent, speeds+replica.speed
	}
	for _, replica := range sim.replicas {
		if share := float64(sum) * replica.speed / speeds; passed > disturbedAt && replica.carriedAt == 0 && !replica.down && float64(replica.recent) >= carriedShare*share {
			replica.carriedAt = passed - disturbedAt
		}
		replica.recent = 0
	}
}

// reset forgets the results so far.
func (sim *simulation) reset() {
	for _, replica := range sim.replicas {
		replica.work, replica.sent, replica.failed, replica.began, replica.lateStarts, replica.latePauses = 0, 0, 0, 0, 0, 0
	}
}
