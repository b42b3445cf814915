package pace

import (
	"math"
	"time"

	"github.com/bronzestall/bronzestall/internal/decay"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// halfLife is the time within which observations lose half of their weight: short enough for a replica that slows down for some
	// seconds, and long enough for several streams at each replica.
	halfLife = 3 * time.Second
	// forgotten is the weight of all observations of a replica below which it is dropped.
	forgotten = 0.05
	// refreshInterval is the least time between two comparisons of all replicas, whose cost grows with their number.
	refreshInterval = 250 * time.Millisecond
)

// Estimator derives the values of replicas from observations. It is not safe for concurrent use. Use NewEstimator.
type Estimator struct {
	// services maps services to their replicas.
	services map[string]map[topology.Incarnation]*replica
	// values holds those of the last comparison, at refreshed; replicas without anything to tell are left out.
	values    map[topology.Incarnation]Value
	refreshed time.Time
	// changes lists the windows that began or ended since the last call of Changes.
	changes []Change
}

// replica is what is known of one replica.
type replica struct {
	// sums has the observations, with their weights at the time updated.
	sums    Sums
	updated time.Time
	window  window
}

// Change is the begin, the end or a decrease of a window.
type Change struct {
	topology.Incarnation
	Service string
	// Window is the new size; zero at the end.
	Window float64
	// Cause is why the window began or was decreased; None at the end.
	Cause Cause
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{services: map[string]map[topology.Incarnation]*replica{}}
}

// Begin bounds the requests in flight at a replica that starts. It has no effect if they are bounded already.
func (estimator *Estimator) Begin(incarnation topology.Incarnation, service string, slots int, cause Cause, now time.Time) {
	known := estimator.replica(service, incarnation, now)
	before := known.window
	known.window.begin(slots, cause, now)
	estimator.record(incarnation, service, before, known.window)
}

// Add adds the observations of one replica. inFlight is the number of requests known to be in flight there.
func (estimator *Estimator) Add(incarnation topology.Incarnation, observed *Sums, inFlight int, now time.Time) {
	if !observed.IsFinite() {
		return
	}
	known := estimator.replica(observed.Service, incarnation, now)
	known.sums = known.decayed(now).plus(observed)
	known.updated = now
	before := known.window
	known.window.observe(observed, &known.sums, inFlight, now)
	estimator.record(incarnation, observed.Service, before, known.window)
}

// record keeps a change of a window that is of interest to operators: not each step of its growth.
func (estimator *Estimator) record(incarnation topology.Incarnation, service string, before, after window) {
	if began, shrunk := before.size == 0 && after.size > 0, after.size < before.size; began || shrunk {
		// Such changes count at once; growth counts at the next comparison.
		estimator.refreshed = time.Time{}
		estimator.changes = append(estimator.changes, Change{Incarnation: incarnation, Service: service, Window: after.size, Cause: after.cause})
	}
}

// EndWindows ends the windows that were last observed before the time.
func (estimator *Estimator) EndWindows(before time.Time) {
	for service, replicas := range estimator.services {
		for incarnation, known := range replicas {
			if earlier := known.window; earlier.size > 0 && earlier.observed.Before(before) {
				known.window.end()
				estimator.record(incarnation, service, earlier, known.window)
			}
		}
	}
}

// Changes returns the windows that began, ended or were decreased since the last call.
func (estimator *Estimator) Changes() []Change {
	changes := estimator.changes
	estimator.changes = nil
	return changes
}

// replica returns what is known of the replica, and adds it if it is not known.
func (estimator *Estimator) replica(service string, incarnation topology.Incarnation, now time.Time) *replica {
	replicas, ok := estimator.services[service]
	if !ok {
		replicas = map[topology.Incarnation]*replica{}
		estimator.services[service] = replicas
	}
	known, ok := replicas[incarnation]
	if !ok {
		known = &replica{updated: now}
		replicas[incarnation] = known
	}
	return known
}

// decayed returns the observations with their weights at the time.
func (replica *replica) decayed(now time.Time) Sums {
	return replica.sums.scaled(decay.Weight(now.Sub(replica.updated), halfLife))
}

// Values returns the values of all replicas that differ from others. The caller must not change the result.
func (estimator *Estimator) Values(now time.Time) map[topology.Incarnation]Value {
	if now.Sub(estimator.refreshed) < refreshInterval {
		return estimator.values
	}
	estimator.refreshed = now
	estimator.values = map[topology.Incarnation]Value{}
	for service, replicas := range estimator.services {
		estimator.compare(service, replicas, now)
	}
	return estimator.values
}

// compare sets the values of the replicas of one service, and drops those of which nothing is known any more.
func (estimator *Estimator) compare(service string, replicas map[topology.Incarnation]*replica, now time.Time) {
	for incarnation, known := range replicas {
		known.sums, known.updated = known.decayed(now), now
		before := known.window
		known.window.advance(known.sums.Slots, now)
		if before.size > 0 && known.window.size == 0 {
			estimator.changes = append(estimator.changes, Change{Incarnation: incarnation, Service: service})
		}
		if known.window.size == 0 && known.weight() < forgotten {
			delete(replicas, incarnation)
		}
	}
	if len(replicas) == 0 {
		delete(estimator.services, service)
		return
	}
	gaps, hasGaps := newComparison(func(yield func(*Regression)) {
		for _, known := range replicas {
			yield(&known.sums.Gaps)
		}
	})
	starts, hasStarts := newComparison(func(yield func(*Regression)) {
		for _, known := range replicas {
			yield(&known.sums.Starts)
		}
	})
	all := sumPauses(replicas)
	for incarnation, known := range replicas {
		value := Value{Window: known.window.size, Cause: known.window.cause, Chances: lateChances(&known.sums.Pauses, &all)}
		if hasGaps || hasStarts {
			value.Speed = known.speed(gaps, hasGaps, starts, hasStarts)
		}
		if !value.IsZero() {
			estimator.values[incarnation] = value
		}
	}
}

// weight returns the weight of all observations of the replica.
func (replica *replica) weight() float64 {
	sums := &replica.sums
	weight := sums.Gaps.Count + sums.Starts.Count + sums.Good + sums.Late + sums.Rejected + sums.Failed
	for index := range sums.Pauses {
		weight += sums.Pauses[index].Streams + sums.Pauses[index].Late
	}
	return weight
}

// speed returns the speed of the replica, or zero if it is not distinguished from that of the others. Both comparisons count by their
// precision.
func (replica *replica) speed(gaps comparison, hasGaps bool, starts comparison, hasStarts bool) float64 {
	sum, precision := 0.0, 0.0
	add := func(made comparison, has bool, regression *Regression) {
		if !has {
			return
		}
		logSpeed, variance := made.logSpeed(regression)
		sum += logSpeed / variance
		precision += 1 / variance
	}
	add(gaps, hasGaps, &replica.sums.Gaps)
	add(starts, hasStarts, &replica.sums.Starts)
	if precision == 0 {
		return 0
	}
	logSpeed := beyondNoise(sum/precision, max(noiseErrors/math.Sqrt(precision), sameSpeed))
	if logSpeed == 0 {
		return 0
	}
	return math.Exp(logSpeed)
}

// sumPauses returns the streams of all replicas.
func sumPauses(replicas map[topology.Incarnation]*replica) [MaxTargets]Pauses {
	var all Sums
	for _, known := range replicas {
		all = all.plus(&Sums{Pauses: known.sums.Pauses})
	}
	return all.Pauses
}

// lateChances returns by how much the chances of a replica differ from those of all replicas, beyond noise.
func lateChances(own, all *[MaxTargets]Pauses) (chances [MaxTargets]Chance) {
	found := 0
	for _, pauses := range own {
		total := entryOf(all, pauses.Target)
		if total == nil || pauses.Streams <= 0 || total.Streams <= pauses.Streams {
			continue
		}
		// One half of a late stream is added to each side, so that few streams do not make the chance look certain.
		mean := min((total.Late+0.5)/(total.Streams+1), 1)
		chance := min(pauses.Late/pauses.Streams, 1)
		bound := pauseErrors * math.Sqrt(mean*(1-mean)/pauses.Streams)
		if late := beyondNoise(chance-mean, bound); late != 0 {
			chances[found] = Chance{Target: pauses.Target, Late: late}
			found++
		}
	}
	return chances
}
