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
	// crowding is what a replica with all slots taken adds to its score.
	crowding = 6.0
	// failureCost is what a replica that fails always adds to its score.
	failureCost = 12.0
	// foreignCost multiplies the score of a replica in another data centre.
	foreignCost = 1.15
	// seatGain multiplies the score of the replica that this daemon prefers, so that prompts of different
	// daemons seldom meet at one replica.
	seatGain = 0.8
	// prefillCost is what prefillUnit tokens of prompts add that a replica has not read yet: they hold up
	// the events of all its streams.
	prefillCost = 1.5
	prefillUnit = 1000.0
	// jitter is the random part of a score, which keeps daemons with the same view apart.
	jitter = 0.06
	// slowest bounds the factor of a slow replica.
	slowest = 6.0
)

// The parts of the time within which a caller expects the first event, as expected waits: up to the first
// every request is sent, up to both together the luckiest.
const (
	surelyPart = 0.6
	luckyPart  = 2.0
	// queueSlots is the number of slots for each request that may wait for its first event at a replica
	// whatever the expected wait.
	queueSlots = 4
)

// The rules of barring a replica that fails.
const (
	// barStreak is the number of failures in a row after which a replica is barred.
	barStreak = 3
	// barFor is how long it is barred; one request then probes it.
	barFor = 1500 * time.Millisecond
	// forgetAfter is the time without requests after which a latency is no longer believed.
	forgetAfter = 5 * time.Second
)

// Balancer knows the load of replicas. It is safe for concurrent use. Use New.
type Balancer struct {
	mutex  sync.Mutex
	random *rand.Rand
	// loads maps incarnations to loads.
	loads map[topology.Incarnation]*load
}

// New returns a balancer that knows no load.
func New(random *rand.Rand) *Balancer {
	return &Balancer{random: random, loads: map[topology.Incarnation]*load{}}
}

// Choose returns the best candidate and counts a request in flight at it, to be ended by Done.
// Barred and excluded candidates are chosen only if there is no other. It reports false if there is none, or
// if all are fuller than the request accepts.
func (balancer *Balancer) Choose(candidates []Candidate, ask Ask, now time.Time) (Candidate, bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	if ask.Fullest > 0 {
		candidates = balancer.roomy(candidates, ask)
	}
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	rank := balancer.rank(candidates, ask, now)
	load := balancer.load(rank.Incarnation)
	rank.InFlight = load.inFlight()
	rank.Sent = now
	rank.Ahead = load.ahead(ask.Rank)
	load.own = load.own.Plus(demand.OneWaiting(ask.Rank))
	load.prefill += ask.Tokens
	load.used = now
	if load.streak >= barStreak {
		load.barredUntil = now.Add(barFor)
	}
	return rank, true
}

// roomy returns the candidates that are not fuller than the limit and are expected to begin in time.
// The longer the wait, the fewer requests are lucky enough for it. The mutex is held.
func (balancer *Balancer) roomy(candidates []Candidate, ask Ask) []Candidate {
	roomy := make([]Candidate, 0, len(candidates))
	longest := time.Duration((surelyPart + luckyPart*math.Pow(ask.Luck, 3)) * float64(ask.Aim))
	for index := range candidates {
		load := balancer.load(candidates[index].Incarnation)
		slots := max(candidates[index].Slots, 1)
		if float64(load.inFlight()) >= ask.Fullest*float64(slots) {
			continue
		}
		if load.ahead(ask.Rank) < slots/queueSlots || load.wait(ask.Rank) <= longest {
			roomy = append(roomy, candidates[index])
		}
	}
	return roomy
}

// rank returns the candidate with the lowest score in the best class. The mutex is held.
func (balancer *Balancer) rank(candidates []Candidate, ask Ask, now time.Time) Candidate {
	fastest := balancer.fastest(candidates, now)
	seat := seated(candidates, ask.Seat)
	best := -1
	bestScore, bestClass := 0.0, 0
	for index := range candidates {
		candidate := &candidates[index]
		class := balancer.class(candidate, ask, now)
		score := balancer.score(candidate, ask, fastest, now)
		if index == seat {
			score *= seatGain
		}
		if best < 0 || class < bestClass || (class == bestClass && score < bestScore) {
			best, bestScore, bestClass = index, score, class
		}
	}
	return candidates[best]
}

// class orders candidates that may be used before those that are barred, and these before excluded ones.
func (balancer *Balancer) class(candidate *Candidate, ask Ask, now time.Time) int {
	if slices.Contains(ask.Exclude, candidate.Incarnation) {
		return 2
	}
	if now.Before(balancer.load(candidate.Incarnation).barredUntil) {
		return 1
	}
	return 0
}

func (balancer *Balancer) score(candidate *Candidate, ask Ask, fastest time.Duration, now time.Time) float64 {
	load := balancer.load(candidate.Incarnation)
	score := 1 + crowding*float64(load.inFlight())/float64(max(candidate.Slots, 1))
	if fastest > 0 && load.latency > 0 && now.Sub(load.used) < forgetAfter {
		score *= min(float64(load.latency)/float64(fastest), slowest)
	}
	score += failureCost*load.failures + prefillCost*float64(load.prefill)/prefillUnit
	if candidate.Zone != ask.Zone {
		score *= foreignCost
	}
	return score * (1 + jitter*balancer.random.Float64())
}

// fastest returns the lowest known latency of the candidates, or zero.
func (balancer *Balancer) fastest(candidates []Candidate, now time.Time) time.Duration {
	lowest := time.Duration(0)
	for index := range candidates {
		load := balancer.load(candidates[index].Incarnation)
		if load.latency > 0 && now.Sub(load.used) < forgetAfter && (lowest == 0 || load.latency < lowest) {
			lowest = load.latency
		}
	}
	return lowest
}

// seated returns the index of the candidate that the daemon of the seat prefers. Candidates are ordered by
// a hash, so that the preferences for different models are independent.
func seated(candidates []Candidate, seat int) int {
	order := make([]int, len(candidates))
	weights := make([]uint64, len(candidates))
	for index := range candidates {
		order[index] = index
		weights[index] = xxhash.Sum64String(candidates[index].ID)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[a], weights[b]) })
	return order[seat%len(order)]
}

// load returns the load of the incarnation. The mutex is held.
func (balancer *Balancer) load(incarnation topology.Incarnation) *load {
	known, ok := balancer.loads[incarnation]
	if !ok {
		known = &load{}
		balancer.loads[incarnation] = known
	}
	return known
}

// Answered notes the time to the first byte of an answer.
func (balancer *Balancer) Answered(incarnation topology.Incarnation, latency time.Duration) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.load(incarnation).observe(latency)
}

// Begun notes that the chosen replica has read the prompt and sent the first event after the wait, or
// that the request ended without it.
func (balancer *Balancer) Begun(chosen Candidate, ask Ask, wait time.Duration, begun bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	load := balancer.load(chosen.Incarnation)
	load.prefill -= ask.Tokens
	load.own = load.own.AfterFirstEvent(ask.Rank)
	load.start(ask.Rank, chosen.Ahead, wait, begun)
}

// Done ends a request in flight. failed states that the replica failed it.
func (balancer *Balancer) Done(incarnation topology.Incarnation, failed bool, now time.Time) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	load := balancer.load(incarnation)
	load.own.Running--
	load.fail(failed)
	if !failed {
		load.streak = 0
		load.barredUntil = time.Time{}
		return
	}
	load.streak++
	if load.streak >= barStreak {
		load.barredUntil = now.Add(barFor)
	}
}

// Withdraw ends a request in flight that tells nothing of the replica.
func (balancer *Balancer) Withdraw(incarnation topology.Incarnation) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.load(incarnation).own.Running--
}

// SetOthers takes the requests in flight from other daemons by incarnation.
func (balancer *Balancer) SetOthers(running map[topology.Incarnation]demand.InFlight) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for incarnation, load := range balancer.loads {
		load.others = running[incarnation]
	}
}

// Forget drops what is known of incarnations that are gone and have no request in flight.
func (balancer *Balancer) Forget(live map[topology.Incarnation]bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for incarnation, load := range balancer.loads {
		if load.own.Running == 0 && !live[incarnation] {
			delete(balancer.loads, incarnation)
		}
	}
}
