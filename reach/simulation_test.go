package reach

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"
)

const (
	simReplicas  = 12
	simStep      = 100 * time.Millisecond
	simRequests  = 100 * time.Millisecond
	simWitnesses = 4
	// simLatency is the time of a message one way, and simLoss the share of questions to other daemons that are lost.
	simLatency = 5 * time.Millisecond
	simLoss    = 0.1
)

// span is a period in which a replica pauses, or in which a path is cut.
type span struct {
	from, to time.Duration
	// resets states that a cut path resets connections; otherwise it yields nothing.
	resets bool
}

func (span span) holds(at time.Duration) bool { return span.from <= at && at < span.to }

// simulation is a number of daemons and replicas in virtual time.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	daemons []*simDaemon
	// pauses maps replicas to their pauses, and cuts daemons to the cuts of their paths to replicas.
	pauses map[int][]span
	cuts   map[int]map[int][]span
}

type simDaemon struct {
	*Paths
	number int
	// lostAt maps replicas to when they were first found lost, and swallowed counts requests that may run once and got no answer.
	lostAt    map[int]time.Duration
	swallowed int
	// cutOffAt is when the daemon first counted as cut off, and backAt when it last was not any more.
	cutOffAt, backAt time.Duration
	// cutOffs lists when it began to count as cut off.
	cutOffs []time.Duration
	// found marks the replicas whose paths are lost, and wrong counts how often one was found lost that was not cut lately.
	found [simReplicas]bool
	wrong int
}

type simEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []simEvent

func (queue eventQueue) Len() int           { return len(queue) }
func (queue eventQueue) Less(a, b int) bool { return queue[a].at < queue[b].at }
func (queue eventQueue) Swap(a, b int)      { queue[a], queue[b] = queue[b], queue[a] }
func (queue *eventQueue) Push(event any)    { *queue = append(*queue, event.(simEvent)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

func newSimulation(daemons int, seed uint64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), pauses: map[int][]span{}, cuts: map[int]map[int][]span{}}
	for number := range daemons {
		daemon := &simDaemon{Paths: New(), number: number, lostAt: map[int]time.Duration{}}
		sim.daemons = append(sim.daemons, daemon)
		sim.cuts[number] = map[int][]span{}
		sim.after(sim.upTo(simStep), func() { sim.step(daemon) })
		sim.after(sim.upTo(simRequests), func() { sim.request(daemon) })
	}
	return sim
}

func (sim *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(limit)))
}

func (sim *simulation) after(delay time.Duration, run func()) {
	heap.Push(&sim.queue, simEvent{sim.now + delay, run})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at < until {
		next := heap.Pop(&sim.queue).(simEvent)
		sim.now = next.at
		next.run()
	}
}

func (sim *simulation) time() time.Time { return time.Unix(1000, 0).Add(sim.now) }

// answeredAt returns when a replica sends an answer that is ready at the time, unless it pauses.
func (sim *simulation) answeredAt(replica int, ready time.Duration) time.Duration {
	for _, pause := range sim.pauses[replica] {
		if pause.holds(ready) {
			return pause.to + sim.upTo(simLatency)
		}
	}
	return ready
}

// cutAt returns the cut of the path at the time, or nil.
func (sim *simulation) cutAt(daemon, replica int, at time.Duration) *span {
	for index, cut := range sim.cuts[daemon][replica] {
		if cut.holds(at) {
			return &sim.cuts[daemon][replica][index]
		}
	}
	return nil
}

// send makes an attempt that takes the time at the replica, and calls ended with whether an answer came, after the timeout at most.
func (sim *simulation) send(daemon *simDaemon, replica int, takes, timeout time.Duration, ended func(answered bool)) {
	key, begun := strconv.Itoa(replica), sim.time()
	daemon.Began(key, begun)
	if cut := sim.cutAt(daemon.number, replica, sim.now); cut != nil && cut.resets {
		sim.after(simLatency, func() {
			daemon.Ended(key, begun, sim.time())
			sim.observe(daemon, daemon.Failed(key, Reset, begun, sim.time()))
			ended(false)
		})
		return
	}
	arrives := sim.answeredAt(replica, sim.now+simLatency+takes) + simLatency
	if sim.cutAt(daemon.number, replica, sim.now) != nil || sim.cutAt(daemon.number, replica, arrives) != nil || arrives-sim.now > timeout {
		sim.after(timeout, func() {
			daemon.Ended(key, begun, sim.time())
			ended(false)
		})
		return
	}
	sim.after(arrives-sim.now, func() {
		sim.observe(daemon, daemon.Reached(key, sim.time()))
		daemon.Ended(key, begun, sim.time())
		ended(true)
	})
}

// request sends a request, half of which may run once. These go on sound paths only, the others also on suspected ones.
func (sim *simulation) request(daemon *simDaemon) {
	sim.after(simRequests/2+sim.upTo(simRequests), func() { sim.request(daemon) })
	if _, cutOff := daemon.IsCutOff(); cutOff {
		return
	}
	worst := []State{Sound, Absent}[sim.random.IntN(2)]
	replica, ok := sim.choose(daemon, worst)
	if !ok {
		return
	}
	counts := worst == Sound && sim.cutAt(daemon.number, replica, sim.now) != nil
	sim.send(daemon, replica, sim.upTo(300*time.Millisecond), 4*time.Second, func(answered bool) {
		if counts && !answered {
			daemon.swallowed++
		}
	})
}

// choose returns a replica with the best state of its path, which is not worse than the given one.
func (sim *simulation) choose(daemon *simDaemon, worst State) (int, bool) {
	for state := Sound; state <= worst; state++ {
		for _, replica := range sim.random.Perm(simReplicas) {
			if daemon.State(strconv.Itoa(replica), sim.time()) == state {
				return replica, true
			}
		}
	}
	return 0, false
}

// step lets the daemon do what is due.
func (sim *simulation) step(daemon *simDaemon) {
	sim.after(simStep, func() { sim.step(daemon) })
	work := daemon.Step(sim.time())
	sim.observe(daemon, work.Change)
	for _, probe := range work.Probes {
		sim.probe(daemon, probe, func() {})
	}
	for _, key := range work.Questions {
		for range simWitnesses {
			witness := sim.daemons[sim.random.IntN(len(sim.daemons))]
			if _, cutOff := witness.IsCutOff(); witness != daemon && !cutOff && sim.random.Float64() >= simLoss {
				sim.after(simLatency, func() { sim.ask(daemon, witness, key) })
			}
		}
	}
}

func (sim *simulation) probe(daemon *simDaemon, probe Probe, ended func()) {
	replica, _ := strconv.Atoi(probe.Key)
	sim.send(daemon, replica, simLatency, probe.Timeout, func(bool) {
		sim.observe(daemon, daemon.ProbeEnded(probe.Key, sim.time()))
		ended()
	})
}

// ask lets the witness tell the daemon when it had an answer, after a probe if that is long ago.
func (sim *simulation) ask(daemon, witness *simDaemon, key string) {
	tell := func() {
		if at := witness.Known(key, sim.time()).Proved; !at.IsZero() {
			sim.after(simLatency, func() { sim.observe(daemon, daemon.Vouched(key, at, sim.time())) })
		}
	}
	if sim.time().Sub(witness.Known(key, sim.time()).Proved) < minProbeDelay {
		tell()
		return
	}
	probe, ok := witness.BeginProbe(key, sim.time())
	if !ok {
		tell()
		return
	}
	sim.probe(witness, probe, tell)
}

// observe records when paths were found lost, and when the daemon was cut off.
func (sim *simulation) observe(daemon *simDaemon, change Change) {
	switch change {
	case CutOff:
		daemon.cutOffs = append(daemon.cutOffs, sim.now)
		if daemon.cutOffAt == 0 {
			daemon.cutOffAt = sim.now
		}
	case Back:
		daemon.backAt = sim.now
	}
	if daemon.LostCount() == 0 {
		daemon.found = [simReplicas]bool{}
		return
	}
	for replica := range simReplicas {
		lost := daemon.State(strconv.Itoa(replica), sim.time()).Lost()
		if lost && !daemon.found[replica] {
			sim.recordLost(daemon, replica)
		}
		daemon.found[replica] = lost
	}
}

// recordLost records that the path to the replica was found lost, and whether it was cut in the last seconds.
func (sim *simulation) recordLost(daemon *simDaemon, replica int) {
	const lately = 3 * time.Second
	if _, before := daemon.lostAt[replica]; !before {
		daemon.lostAt[replica] = sim.now
	}
	for _, cut := range sim.cuts[daemon.number][replica] {
		if cut.from <= sim.now && sim.now < cut.to+lately {
			return
		}
	}
	daemon.wrong++
}
