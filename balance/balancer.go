package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// The weights of a choice. A score is a multiple of the latency of an idle replica; the lowest wins.
const (
	// loadCost is added to the score of a replica with all slots taken, in proportion for others.
	loadCost = 6.0
	// failureCost is added to the score of a replica that always fails, in proportion for others.
	failureCost = 12.0
	// remoteZoneFactor multiplies the score of a replica in another data centre.
	remoteZoneFactor = 1.15
	// preferredFactor multiplies the score of the replica that this daemon prefers, so that prompts of different
	// daemons are seldom sent to the same replica.
	preferredFactor = 0.8
	// reservedFactor multiplies the score of a replica with a limit for which a token is at hand.
	reservedFactor = 0.5
	// prefillCost is added for each prefillUnitTokens tokens of prompts that a replica has not read yet: reading them
	// delays the events of all its streams.
	prefillCost       = 1.5
	prefillUnitTokens = 1000.0
	// jitter is the random fraction of a score, which makes daemons with the same data choose differently.
	jitter = 0.06
	// leavingMaxLoad is the number of requests in flight, as a multiple of its slots, from which a replica is no longer preferred to
	// those of a leaving release: with all slots taken, each token takes longer than at replicas that have room.
	leavingMaxLoad = 0.75
	// maxLatencyFactor bounds the factor for the latency of a replica.
	maxLatencyFactor = 6.0
)

// The longest accepted wait for the first event, as multiples of FirstEventTarget. Up to certainWaitFactor every
// request is sent; quantileWaitFactor scales the cube of the AdmissionQuantile that is added to it.
const (
	certainWaitFactor  = 0.6
	quantileWaitFactor = 2.0
	// slotsPerWaiting is the number of slots for each request that may wait for its first event at a replica whatever
	// the expected wait.
	slotsPerWaiting = 4
)

// The limits for ejecting a replica that fails, and for the age of measurements.
const (
	// ejectionFailures is the number of consecutive failures after which a replica is ejected.
	ejectionFailures = 3
	// ejectionTime is how long it is ejected; then one request probes it.
	ejectionTime = 1500 * time.Millisecond
	// latencyExpiry is the time without requests after which a measured latency is ignored.
	latencyExpiry = 5 * time.Second
)

// Balancer tracks the load of replicas and chooses among them. It is safe for concurrent use. Use New.
type Balancer struct {
	mutex  sync.Mutex
	random *rand.Rand
	// loads maps incarnations to their loads.
	loads map[topology.Incarnation]*load
	paces paces
	// field is that of the choice under way, kept for its memory.
	field field
}

// New returns a balancer without any load data.
func New(random *rand.Rand) *Balancer {
	return &Balancer{random: random, loads: map[topology.Incarnation]*load{}, paces: newPaces()}
}

// Choose returns the best candidate and counts a request in flight at it, until Done or Cancel is called. Ejected,
// excluded and silent candidates are chosen only if there is no other. It reports false if there is no candidate, or if all are
// too loaded for the criteria.
func (balancer *Balancer) Choose(candidates []Candidate, criteria Criteria, now time.Time) (Candidate, bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	balancer.refreshPaces(now)
	if criteria.MaxLoad > 0 {
		candidates = balancer.withCapacity(candidates, criteria)
	}
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	pick := balancer.pick(candidates, criteria, now)
	load := balancer.load(pick.Incarnation)
	pick.InFlight = load.inFlight()
	pick.ChosenAt = now
	pick.QueuedAhead = load.queuedAhead(criteria.Priority)
	load.local = load.local.Plus(demand.OneWaiting(criteria.Priority))
	load.pendingPromptTokens += criteria.Tokens
	load.lastUsed = now
	load.observed.Service, load.observed.Slots = criteria.Service, pick.Slots
	if load.consecutiveFailures >= ejectionFailures {
		load.ejectedUntil = now.Add(ejectionTime)
	}
	return pick, true
}

// withCapacity returns the candidates that are below the load limit and are expected to send the first event in time.
// The longer the expected wait, the higher the AdmissionQuantile that it takes; without a FirstEventTarget, any wait is accepted. The
// mutex must be held.
func (balancer *Balancer) withCapacity(candidates []Candidate, criteria Criteria) []Candidate {
	withCapacity := make([]Candidate, 0, len(candidates))
	longestWait := time.Duration((certainWaitFactor + quantileWaitFactor*math.Pow(criteria.AdmissionQuantile, 3)) * float64(criteria.FirstEventTarget))
	for index := range candidates {
		load := balancer.load(candidates[index].Incarnation)
		slots := load.slots(&candidates[index])
		if load.inFlight() >= load.accepted(&candidates[index], criteria.MaxLoad) {
			continue
		}
		if criteria.FirstEventTarget <= 0 || load.queuedAhead(criteria.Priority) < slots/slotsPerWaiting || load.expectedWait(criteria.Priority) <= longestWait {
			withCapacity = append(withCapacity, candidates[index])
		}
	}
	return withCapacity
}

// pick returns the candidate with the lowest score in the best class. The mutex must be held.
func (balancer *Balancer) pick(candidates []Candidate, criteria Criteria, now time.Time) Candidate {
	field := balancer.survey(candidates, criteria, now)
	preferred := preferredIndex(candidates, criteria.DaemonIndex)
	best := -1
	bestScore, bestClass := 0.0, 0
	for index := range candidates {
		candidate := &candidates[index]
		load := field.loads[index]
		class := balancer.class(load, candidate, criteria, field, now)
		score := balancer.score(load, candidate, criteria, field, now)
		if index == preferred {
			score *= preferredFactor
		}
		if best < 0 || class < bestClass || (class == bestClass && score < bestScore) {
			best, bestScore, bestClass = index, score, class
		}
	}
	return candidates[best]
}

// The classes of candidates. Lower ones are chosen first.
const (
	// classFirst is that of candidates without restriction.
	classFirst = iota
	// classBeyondWindow is that of replicas that start or recover and have all requests that they should for now.
	classBeyondWindow
	// classLast is that of replicas of a leaving release, and of those above leavingMaxLoad while a release leaves.
	classLast
	classEjected
	classExcluded
	classSilent
)

// class returns the class of the candidate. The mutex must be held.
func (balancer *Balancer) class(load *load, candidate *Candidate, criteria Criteria, field *field, now time.Time) int {
	switch {
	case slices.Contains(criteria.Silent, candidate.Incarnation):
		return classSilent
	case slices.Contains(criteria.Exclude, candidate.Incarnation):
		return classExcluded
	case now.Before(load.ejectedUntil):
		return classEjected
	case len(criteria.Leaving) > 0 && (slices.Contains(criteria.Leaving, candidate.Release) || float64(load.inFlight()) >= leavingMaxLoad*float64(candidate.Slots)):
		return classLast
	case load.pace.Window > 0 && !balancer.admits(load, criteria, field):
		return classBeyondWindow
	default:
		return classFirst
	}
}

// score returns the expected cost of the candidate, or its requests in flight if the quietest is wanted; lower is better. The mutex
// must be held.
func (balancer *Balancer) score(load *load, candidate *Candidate, criteria Criteria, field *field, now time.Time) float64 {
	if criteria.Quietest {
		return float64(load.inFlight())
	}
	used := float64(load.inFlight()) / float64(load.slots(candidate))
	score := 1 + loadCost*used
	if field.uneven {
		score *= field.paceFactor(load)
		score += field.pauseCost(load, criteria, used)
	}
	if field.lowestLatency > 0 && load.latency > 0 && now.Sub(load.lastUsed) < latencyExpiry {
		score *= min(float64(load.latency)/float64(field.lowestLatency), maxLatencyFactor)
	}
	score += failureCost*load.failureRate + prefillCost*float64(load.pendingPromptTokens)/prefillUnitTokens
	if candidate.Zone != criteria.Zone {
		score *= remoteZoneFactor
	}
	if candidate.Reserved {
		score *= reservedFactor
	}
	return score * (1 + jitter*balancer.random.Float64())
}

// preferredIndex returns the index of the candidate that the daemon with the given index prefers. Candidates are
// ordered by a hash, so that the preferences for different models are independent.
func preferredIndex(candidates []Candidate, daemonIndex int) int {
	order := make([]int, len(candidates))
	weights := make([]uint64, len(candidates))
	for index := range candidates {
		order[index] = index
		weights[index] = xxhash.Sum64String(candidates[index].ID)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[a], weights[b]) })
	return order[daemonIndex%len(order)]
}

// load returns the load of the incarnation, and adds it if it is not known. The mutex must be held.
func (balancer *Balancer) load(incarnation topology.Incarnation) *load {
	known, ok := balancer.loads[incarnation]
	if !ok {
		known = &load{}
		balancer.loads[incarnation] = known
	}
	return known
}

// ObserveLatency records the time to the first byte of a response.
func (balancer *Balancer) ObserveLatency(incarnation topology.Incarnation, latency time.Duration) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.load(incarnation).observeLatency(latency)
}

// EndWait records that the chosen replica has read the prompt and sent the first event after the wait, or, if begun
// is not set, that the request ended without one.
func (balancer *Balancer) EndWait(chosen Candidate, criteria Criteria, wait time.Duration, begun bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	load := balancer.load(chosen.Incarnation)
	if begun {
		load.observeStart(&chosen, criteria, wait)
	}
	load.pendingPromptTokens -= criteria.Tokens
	load.local = load.local.AfterFirstEvent(criteria.Priority)
	load.observeWait(criteria.Priority, chosen.QueuedAhead, wait, begun)
}

// Done ends a request in flight. failed states that the replica failed to serve it.
func (balancer *Balancer) Done(incarnation topology.Incarnation, failed bool, now time.Time) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	load := balancer.load(incarnation)
	load.local.Running--
	load.observeResult(failed)
	if !failed {
		load.consecutiveFailures = 0
		load.ejectedUntil = time.Time{}
		return
	}
	load.observed.Failed++
	load.consecutiveFailures++
	if load.consecutiveFailures >= ejectionFailures {
		load.ejectedUntil = now.Add(ejectionTime)
	}
}

// Cancel ends a request in flight whose end says nothing about the health of the replica.
func (balancer *Balancer) Cancel(incarnation topology.Incarnation) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.load(incarnation).local.Running--
}

// Withdraw undoes a choice for which no request was sent.
func (balancer *Balancer) Withdraw(chosen Candidate, criteria Criteria) {
	balancer.EndWait(chosen, criteria, 0, false)
	balancer.Cancel(chosen.Incarnation)
}

// SetRemoteInFlight replaces the requests in flight from other daemons, by incarnation, also of those that were no candidate yet.
func (balancer *Balancer) SetRemoteInFlight(running map[topology.Incarnation]demand.InFlight) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for _, load := range balancer.loads {
		load.remote = demand.InFlight{}
	}
	for incarnation, inFlight := range running {
		balancer.load(incarnation).remote = inFlight
	}
}

// Prune drops the loads of incarnations that are not live and have no request of this daemon in flight.
func (balancer *Balancer) Prune(live map[topology.Incarnation]bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for incarnation, load := range balancer.loads {
		if load.local.Running == 0 && !live[incarnation] {
			delete(balancer.loads, incarnation)
		}
	}
}
