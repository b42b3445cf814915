package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/rendezvous"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// simStep is the step of virtual time; a message between daemons takes one step.
	simStep = 5 * time.Millisecond
	// askTimeoutSteps is the number of steps until a question counts as lost.
	askTimeoutSteps = 30
	// window, excess and slack are the bound of the deployment: what runs in a window is at most what the quota allows in it, more by
	// the excess and the slack.
	window = 8 * time.Second
	excess = 0.1
	slack  = 11000
	// simSeeds is the number of other daemons that the settings of each daemon name.
	simSeeds = 3
	// simReady is the time after its start from which a daemon is ready, and simGossip that until it has learned of all others.
	simReady  = 300 * time.Millisecond
	simGossip = 800 * time.Millisecond
)

var start = time.Unix(1000, 0)

// use is what one request cost.
type use struct {
	at   time.Time
	cost float64
}

// fleet simulates daemons that serve one account, in virtual time and without a network.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	account topology.Account
	daemons []*simDaemon
	// demand is what the requests at each daemon cost per second, and meanCost the mean cost of one.
	demand   func(daemon int) float64
	meanCost float64
	// loss is the share of messages between daemons that are lost.
	loss   float64
	events map[time.Time][]func()
	// uses lists the admitted requests, and refused counts the others.
	uses     []use
	refused  int
	messages int
	// ideal is one bucket for all daemons, and idealRefused the number of requests that it refuses.
	ideal        bucket
	idealRefused int
}

// simDaemon is one daemon of a fleet.
type simDaemon struct {
	fleet      *fleet
	index      int
	name       string
	side       int
	frozen     bool
	started    time.Time
	limiter    *Limiter
	allocator  *Allocator
	membership *ratelimit.Membership
	route      *ratelimit.Route
	// lastSeen and knownFrom state by daemon when it was last in reach, and when a daemon that has just started learns of it.
	lastSeen, knownFrom []time.Time
	waiting             []*Waiter
	// wakeAt is when the loop wakes up to ask, unless it is woken before; zero if only then.
	wakeAt time.Time
}

func newFleet(size int, perSecond float64, seed uint64) *fleet {
	made := &fleet{
		random: rand.New(rand.NewPCG(uint64(size), seed)), now: start, meanCost: 1630, events: map[time.Time][]func(){},
		account: topology.Account{Name: "a", Quota: topology.Quota{PerSecond: perSecond, Burst: perSecond, Tokens: true}},
		demand:  func(int) float64 { return 0 },
	}
	for index := range size {
		daemon := &simDaemon{fleet: made, index: index, name: fmt.Sprintf("d%04d", index), lastSeen: make([]time.Time, size), knownFrom: make([]time.Time, size)}
		made.daemons = append(made.daemons, daemon)
		daemon.restart(0)
	}
	return made
}

// newSettledFleet returns a fleet that has run for a while without demand.
func newSettledFleet(size int, perSecond float64) *fleet {
	fleet := newFleet(size, perSecond, 1)
	fleet.run(6 * time.Second)
	return fleet
}

// restart starts a new process of the daemon, which learns of the others within the given time.
func (daemon *simDaemon) restart(within time.Duration) {
	fleet := daemon.fleet
	daemon.started = fleet.now
	daemon.limiter = NewLimiter(fleet.random)
	daemon.allocator = NewAllocator(daemon.name, slack)
	daemon.membership = ratelimit.NewMembership(daemon.name, fleet.now)
	daemon.route = ratelimit.NewRoute()
	daemon.waiting, daemon.wakeAt = nil, time.Time{}
	for index := range daemon.lastSeen {
		daemon.lastSeen[index] = fleet.now
		daemon.knownFrom[index] = fleet.now.Add(time.Duration(fleet.random.Float64() * float64(within)))
	}
	daemon.observe()
}

// lostAfter returns the time after which package mesh counts a daemon as lost.
func lostAfter(size int) time.Duration {
	if size <= 8 {
		return 2 * time.Second
	}
	return min(1700*time.Millisecond+time.Duration(size)*400*time.Millisecond, 3700*time.Millisecond+time.Duration(size)*100*time.Millisecond)
}

// observe updates the daemons that the daemon sees.
func (daemon *simDaemon) observe() {
	fleet := daemon.fleet
	var others []ratelimit.Member
	for index, other := range fleet.daemons {
		if other == daemon || fleet.now.Before(daemon.knownFrom[index]) {
			continue
		}
		if other.side == daemon.side && !other.frozen {
			daemon.lastSeen[index] = fleet.now
		}
		if fleet.now.Sub(daemon.lastSeen[index]) <= lostAfter(len(fleet.daemons)) {
			others = append(others, ratelimit.Member{Name: other.name})
		}
	}
	daemon.membership.Observe(others, false, fleet.now)
	members := NewMembers(daemon.membership.Live(), daemon.membership.Seen(), min(simSeeds, len(fleet.daemons)-1), fleet.now.Sub(daemon.started))
	daemon.limiter.SetSeen(members.Seen)
	if fleet.now.Sub(daemon.started) < SettleTime {
		daemon.limiter.Announce([]topology.Account{fleet.account}, fleet.now)
	}
	daemon.allocator.Observe([]topology.Account{fleet.account}, members, fleet.now)
}

// after runs the function some steps later.
func (fleet *fleet) after(steps int, run func()) {
	at := fleet.now.Add(time.Duration(steps) * simStep)
	fleet.events[at] = append(fleet.events[at], run)
}

// run advances the time.
func (fleet *fleet) run(length time.Duration) {
	const observeSteps, unsettledSteps = 100, 10
	for until := fleet.now.Add(length); fleet.now.Before(until); {
		fleet.now = fleet.now.Add(simStep)
		for _, run := range fleet.events[fleet.now] {
			run()
		}
		delete(fleet.events, fleet.now)
		step := int(fleet.now.Sub(start) / simStep)
		for _, daemon := range fleet.daemons {
			if daemon.frozen {
				continue
			}
			every := observeSteps
			if fleet.now.Sub(daemon.started) < SettleTime {
				every = unsettledSteps
			}
			if (step+7*daemon.index)%every == 0 {
				daemon.observe()
			}
			daemon.step()
		}
	}
}

// step lets the daemon ask, and decide on the requests that arrive.
func (daemon *simDaemon) step() {
	fleet := daemon.fleet
	daemon.ask()
	daemon.decide()
	if fleet.now.Sub(daemon.started) < simReady {
		return
	}
	expected := fleet.demand(daemon.index) / fleet.meanCost * simStep.Seconds()
	for gap := fleet.random.ExpFloat64(); gap < expected; gap += fleet.random.ExpFloat64() {
		cost := fleet.meanCost * min(0.4+0.6*fleet.random.ExpFloat64(), 4)
		fleet.askIdeal(cost)
		daemon.waiting = append(daemon.waiting, daemon.limiter.Take(&fleet.account, cost, fleet.now))
	}
	daemon.ask()
	daemon.decide()
}

// decide ends the waits that are over.
func (daemon *simDaemon) decide() {
	fleet := daemon.fleet
	daemon.waiting = slices.DeleteFunc(daemon.waiting, func(waiter *Waiter) bool {
		if !waiter.IsReady() && fleet.now.Before(waiter.until) {
			return false
		}
		if charge, _, admitted := daemon.limiter.Leave(waiter, fleet.now); admitted {
			fleet.uses = append(fleet.uses, use{fleet.now, charge.cost})
		} else {
			fleet.refused++
		}
		return true
	})
}

// reaches reports whether a message to the other daemon arrives.
func (daemon *simDaemon) reaches(other *simDaemon) bool {
	return daemon.side == other.side && !daemon.frozen && !other.frozen && (daemon == other || daemon.fleet.random.Float64() >= daemon.fleet.loss)
}

// sleeps reports whether the loop of the daemon waits for a question to be due.
func (daemon *simDaemon) sleeps() bool {
	select {
	case <-daemon.limiter.Asks():
		return false
	default:
		return daemon.wakeAt.IsZero() || daemon.fleet.now.Before(daemon.wakeAt)
	}
}

// ask sends the questions that are due to their grantors, unless the loop sleeps.
func (daemon *simDaemon) ask() {
	fleet := daemon.fleet
	if daemon.sleeps() {
		return
	}
	defer func() { daemon.wakeAt, _ = daemon.limiter.NextDue(fleet.now) }()
	for _, ask := range daemon.limiter.Due(fleet.now) {
		name := daemon.route.Choose(ratelimit.Grantors(daemon.membership.Live(), ask.Account), fleet.now)
		index := slices.IndexFunc(fleet.daemons, func(daemon *simDaemon) bool { return daemon.name == name })
		grantor, limiter, route := fleet.daemons[index], daemon.limiter, daemon.route
		fail := func() {
			fleet.after(askTimeoutSteps, func() {
				limiter.Failed(ask, fleet.now)
				route.Failed(name, fleet.now)
			})
		}
		fleet.messages++
		if !daemon.reaches(grantor) {
			fail()
			continue
		}
		answer := func() {
			grant := grantor.allocator.Grant(daemon.name, ask, fleet.now)
			if !grantor.reaches(daemon) {
				fail()
				return
			}
			fleet.after(1, func() {
				route.Answered(name)
				limiter.Granted(ask, grant, fleet.now)
			})
		}
		fleet.after(1, answer)
	}
}

// most returns the largest use in a window that ends at the given time or later, as a share of what is allowed.
func (fleet *fleet) most(from time.Time) float64 {
	quota := fleet.account.Quota
	allowed := (quota.PerSecond*window.Seconds()+quota.Burst)*(1+excess) + slack
	most, sum, first := 0.0, 0.0, 0
	for _, use := range fleet.uses {
		sum += use.cost
		for use.at.Sub(fleet.uses[first].at) > window {
			sum -= fleet.uses[first].cost
			first++
		}
		if !use.at.Before(from) {
			most = max(most, sum/allowed)
		}
	}
	return most
}

// rate returns the mean use per second between two times, as a share of the rate.
func (fleet *fleet) rate(from, to time.Time) float64 {
	sum := 0.0
	for _, use := range fleet.uses {
		if use.at.After(from) && !use.at.After(to) {
			sum += use.cost
		}
	}
	return sum / to.Sub(from).Seconds() / fleet.account.Quota.PerSecond
}

// even returns a demand that all daemons share evenly.
func (fleet *fleet) even(total float64) func(int) float64 {
	return func(int) float64 { return total / float64(len(fleet.daemons)) }
}

// uneven returns a demand of which each daemon has from nearly nothing to nearly double its equal share.
func (fleet *fleet) uneven(total float64) func(int) float64 {
	size := float64(len(fleet.daemons))
	return func(daemon int) float64 { return total * (float64(daemon) + 0.5) / size / size * 2 }
}

// one returns a demand at one daemon.
func (fleet *fleet) one(total float64) func(int) float64 {
	return func(daemon int) float64 {
		if daemon != 1 {
			return 0
		}
		return total
	}
}

// grantor returns the daemon of the rank for the account.
func (fleet *fleet) grantor(rank int) *simDaemon {
	names := make([]string, 0, len(fleet.daemons))
	for _, daemon := range fleet.daemons {
		names = append(names, daemon.name)
	}
	name := rendezvous.Choose(fleet.account.Name, names, rank+1)[rank]
	return fleet.daemons[slices.Index(names, name)]
}

// heal ends partitions and freezes.
func (fleet *fleet) heal() {
	for _, daemon := range fleet.daemons {
		daemon.side, daemon.frozen = 0, false
	}
}

// askIdeal asks the one bucket that all daemons would share if messages took no time.
func (fleet *fleet) askIdeal(cost float64) {
	quota, ideal := fleet.account.Quota, &fleet.ideal
	if ideal.updated.IsZero() {
		ideal.tokens = quota.Burst
	} else {
		ideal.tokens = min(ideal.tokens+quota.PerSecond*fleet.now.Sub(ideal.updated).Seconds(), quota.Burst)
	}
	ideal.updated = fleet.now
	if ideal.tokens < min(cost, quota.Burst) {
		fleet.idealRefused++
		return
	}
	ideal.tokens -= cost
}
