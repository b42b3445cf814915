package balance

import (
	"math"
	"time"

	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// The weights of the pace of replicas in a choice.
const (
	// lateCost is added to the score of a replica at which every stream has a late pause, compared with one at which none has.
	lateCost = 9.0
	// stallCost is added for a prompt of prefillUnitTokens tokens if all slots of the replica are taken: reading the prompt stalls the
	// streams there. It rises with the square of the time for reading, since short stalls make no stream late.
	stallCost = 0.6
	// slowSpeed is the speed below which a replica gets less in proportion to it: it is not a slower kind, but has a fault.
	slowSpeed = 0.5
	// speedExponent is the exponent of the speed in a score. Requests in flight already weigh for speed, since slower replicas have them
	// for longer: with an exponent of one, fast replicas would get too many.
	speedExponent = 0.25
	// typicalOutputTokens is the length of a stream for which lateCost is meant. Others count in proportion within a factor of
	// maxSizeFactor.
	typicalOutputTokens = 300.0
	maxSizeFactor       = 2.0
	// unhurriedShare and atMostOnceShare multiply the share of requests that are sent to a replica that starts or recovers.
	unhurriedShare  = 2.0
	atMostOnceShare = 0.25
	// neededFrom is the share of slots in use at the others from which a replica that starts or recovers gets more requests.
	neededFrom = 0.5
	// minAcceptedShare is the share of its slots for which a replica is accepted at least, however small its window.
	minAcceptedShare = 0.25
	// paceInterval is the interval at which the paces of all replicas are updated.
	paceInterval = 100 * time.Millisecond
)

// paces is what is known of the pace of replicas.
type paces struct {
	// own has the observations of this daemon.
	own *pace.Estimator
	// announced holds the values that the lease holder announced last, at announcedAt.
	announced   map[topology.Incarnation]pace.Value
	announcedAt time.Time
	// refreshed is when the paces of the loads were last updated.
	refreshed time.Time
	starts    pace.Starts
}

func newPaces() paces {
	return paces{own: pace.NewEstimator()}
}

// SetPaces sets the values that the lease holder announced.
func (balancer *Balancer) SetPaces(announced map[topology.Incarnation]pace.Value, now time.Time) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.paces.announced, balancer.paces.announcedAt = announced, now
	balancer.paces.refreshed = time.Time{}
}

// TakeObservations returns the observations of this daemon since the last call, by replica.
func (balancer *Balancer) TakeObservations(now time.Time) map[topology.Incarnation]pace.Sums {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	var taken map[topology.Incarnation]pace.Sums
	for incarnation, load := range balancer.loads {
		if load.observed.IsZero() {
			continue
		}
		if taken == nil {
			taken = map[topology.Incarnation]pace.Sums{}
		}
		taken[incarnation] = load.observed
		balancer.paces.own.Add(incarnation, &load.observed, load.inFlight(), now)
		load.observed = pace.Sums{Service: load.observed.Service, Slots: load.observed.Slots}
	}
	return taken
}

// SetReplicas begins a slow start at replicas that are cold, or were not listed before.
func (balancer *Balancer) SetReplicas(replicas []topology.Replica, now time.Time) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.paces.starts.Observe(balancer.paces.own, replicas, now)
}

// PaceChanges returns the windows that changed by the observations of this daemon alone; none while the lease holder announces paces.
func (balancer *Balancer) PaceChanges(now time.Time) []pace.Change {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	changes := balancer.paces.own.Changes()
	if pace.IsCurrent(now.Sub(balancer.paces.announcedAt)) {
		return nil
	}
	return changes
}

// Paces returns what is known of the pace of all replicas that differ from others.
func (balancer *Balancer) Paces() map[topology.Incarnation]pace.Value {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	known := map[topology.Incarnation]pace.Value{}
	for incarnation, load := range balancer.loads {
		if !load.pace.IsZero() {
			known[incarnation] = load.pace
		}
	}
	return known
}

// refreshPaces updates the paces of all loads at intervals. The mutex must be held.
func (balancer *Balancer) refreshPaces(now time.Time) {
	paces := &balancer.paces
	if now.Sub(paces.refreshed) < paceInterval {
		return
	}
	paces.refreshed = now
	own := paces.own.Values(now)
	age := now.Sub(paces.announcedAt)
	for incarnation, load := range balancer.loads {
		load.pace = pace.Blend(paces.announced[incarnation], own[incarnation], age)
	}
	for _, values := range []map[topology.Incarnation]pace.Value{paces.announced, own} {
		for incarnation := range values {
			if _, ok := balancer.loads[incarnation]; !ok {
				balancer.load(incarnation).pace = pace.Blend(paces.announced[incarnation], own[incarnation], age)
			}
		}
	}
}

// ObserveGap records the mean time between the events of a part of a stream.
func (balancer *Balancer) ObserveGap(incarnation topology.Incarnation, mean time.Duration) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	load := balancer.load(incarnation)
	load.observed.AddGap(mean, load.inFlight())
}

// ObserveLatePause records the first pause of a stream that is longer than the target.
func (balancer *Balancer) ObserveLatePause(incarnation topology.Incarnation, target time.Duration) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.load(incarnation).observed.AddLatePause(target)
}

// ObserveRejection records that the chosen replica rejected a request. One of a replica whose slots were taken says nothing about its
// health.
func (balancer *Balancer) ObserveRejection(chosen Candidate) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if chosen.InFlight < chosen.Slots {
		balancer.load(chosen.Incarnation).observed.Rejected++
	}
}

// observeStart records the first event of a request after the wait.
func (load *load) observeStart(chosen *Candidate, criteria Criteria, wait time.Duration) {
	load.observed.AddStream(criteria.GapTarget)
	// What daemons know of each other's requests is old: a replica that seems to have half of its slots free has some.
	if 2*chosen.InFlight < chosen.Slots && criteria.FirstEventTarget > 0 && wait > criteria.FirstEventTarget {
		load.observed.Late++
	} else {
		load.observed.Good++
	}
	if chosen.InFlight < chosen.Slots && chosen.QueuedAhead == 0 && criteria.Tokens > 0 {
		load.observed.AddStart(wait, criteria.Tokens)
	}
}

// slots returns the number of requests that the replica may run at once now.
func (load *load) slots(candidate *Candidate) int {
	slots := max(candidate.Slots, 1)
	if load.pace.Window > 0 {
		slots = min(slots, max(int(load.pace.Window), 1))
	}
	return slots
}

// accepted returns the number of requests in flight from which the replica is not chosen. A window counts only down to minAcceptedShare
// of the slots, so that few requests are refused for it where all replicas have small ones.
func (load *load) accepted(candidate *Candidate, maxLoad float64) int {
	slots := float64(max(candidate.Slots, 1))
	if load.pace.Window > 0 {
		return int(math.Ceil(min(max(load.pace.Window, minAcceptedShare*slots), maxLoad*slots)))
	}
	return int(math.Ceil(maxLoad * slots))
}

// field is what a choice needs of all candidates together.
type field struct {
	// loads has those of the candidates, in their order.
	loads []*load
	// lowestLatency is the lowest known latency, or zero.
	lowestLatency time.Duration
	// uneven is set if candidates are known to differ in their pace.
	uneven bool
	// lowestLate is the lowest chance of a late pause.
	lowestLate float64
	// count is the number of candidates, and open that of those without a window, which have openInFlight requests in flight.
	count, open, openInFlight int
	// openSlots is the number of slots of the candidates without a window.
	openSlots int
}

// survey returns what a choice needs of all candidates, until the next call. The mutex must be held.
func (balancer *Balancer) survey(candidates []Candidate, criteria Criteria, now time.Time) *field {
	surveyed := &balancer.field
	*surveyed = field{loads: surveyed.loads[:0], count: len(candidates), lowestLate: math.Inf(1)}
	for index := range candidates {
		load := balancer.load(candidates[index].Incarnation)
		surveyed.loads = append(surveyed.loads, load)
		if load.latency > 0 && now.Sub(load.lastUsed) < latencyExpiry && (surveyed.lowestLatency == 0 || load.latency < surveyed.lowestLatency) {
			surveyed.lowestLatency = load.latency
		}
		late := load.pace.LateChance(criteria.GapTarget)
		surveyed.uneven = surveyed.uneven || load.pace.Speed > 0 || late != 0
		surveyed.lowestLate = min(surveyed.lowestLate, late)
		if load.pace.Window == 0 {
			surveyed.open++
			surveyed.openInFlight += load.inFlight()
			surveyed.openSlots += max(candidates[index].Slots, 1)
		}
	}
	return surveyed
}

// paceFactor returns the factor of the score for the speed of the replica.
func (field *field) paceFactor(load *load) float64 {
	speed := load.pace.RelativeSpeed()
	factor := math.Pow(speed, -speedExponent)
	if speed < slowSpeed {
		factor *= slowSpeed / speed
	}
	return factor
}

// pauseCost returns what is added to the score for late pauses at the replica: those of the request, and those that its prompt causes.
func (field *field) pauseCost(load *load, criteria Criteria, used float64) float64 {
	if criteria.GapTarget <= 0 {
		return 0
	}
	reading := float64(criteria.Tokens+load.pendingPromptTokens) / prefillUnitTokens / load.pace.RelativeSpeed()
	cost := stallCost * reading * reading * used
	if criteria.LateAnyway {
		return cost
	}
	size := 1.0
	if criteria.OutputTokens > 0 {
		size = min(max(float64(criteria.OutputTokens)/typicalOutputTokens, 1/maxSizeFactor), maxSizeFactor)
	}
	return cost + lateCost*size*(load.pace.LateChance(criteria.GapTarget)-field.lowestLate)
}

// admits reports whether a replica with a window takes the request. All daemons together should keep as many requests in flight there
// as the window allows: each sends the replica the share of its requests that its window is of the requests in flight at the others. So
// daemons need not agree on who sends, and those that learn of a free replica at the same time do not all send to it. The mutex must be
// held.
func (balancer *Balancer) admits(load *load, criteria Criteria, field *field) bool {
	if float64(load.inFlight()) >= load.pace.Window {
		return false
	}
	if 2*field.open < field.count {
		// The few others could not take what is kept from those with windows.
		return true
	}
	share := 1 / float64(field.count)
	if others := float64(field.openInFlight) / float64(field.open); others > load.pace.Window {
		share *= load.pace.Window / others
	}
	if criteria.AtMostOnce {
		share *= atMostOnceShare
	}
	if criteria.Unhurried {
		share *= unhurriedShare
	}
	// The replica is needed the more the fewer slots the others have free.
	used := float64(field.openInFlight) / float64(field.openSlots)
	share = max(share, (used-neededFrom)/(1-neededFrom))
	return balancer.random.Float64() < share
}
