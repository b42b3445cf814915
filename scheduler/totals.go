package scheduler

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// totals is the demand of all daemons for the engines of one service. It is updated incrementally from reports.
type totals struct {
	models, adapters map[string]residency.Demand
	// sources maps models, and adapters as model/adapter, to the contributors to their demand.
	sources map[string]*demandSources
	// running and adaptersRunning map engines to their requests in flight by model, or by model/adapter.
	running, adaptersRunning map[topology.Incarnation]map[string]int
}

// demandSources tracks what contributes to the demand for one model or adapter.
type demandSources struct {
	// count is the number of key demands and in-flight entries that are summed; the demand is removed when it
	// drops to zero.
	count int
	// oldest maps the keys with waiting requests, by daemon, to the arrival of the oldest request.
	oldest map[waitingKey]time.Time
	// targets counts the key demands by their latency target; those without one are left out.
	targets map[time.Duration]int
}

// waitingKey identifies the waiting requests of one daemon for one key.
type waitingKey struct {
	daemon string
	demand.Key
}

func newTotals() *totals {
	return &totals{
		models:          map[string]residency.Demand{},
		adapters:        map[string]residency.Demand{},
		sources:         map[string]*demandSources{},
		running:         map[topology.Incarnation]map[string]int{},
		adaptersRunning: map[topology.Incarnation]map[string]int{},
	}
}

// The sign of a change to the totals.
const (
	added   = 1
	removed = -1
)

// addDemand adds or removes the demand of one daemon for one key. Demand for an adapter is also demand for its
// model.
func (sum *totals) addDemand(daemon string, keyDemand demand.KeyDemand, sign int) {
	sum.addKeyDemand(sum.models, keyDemand.Model, daemon, keyDemand, sign)
	if keyDemand.Adapter != "" {
		sum.addKeyDemand(sum.adapters, keyDemand.Model+"/"+keyDemand.Adapter, daemon, keyDemand, sign)
	}
}

func (sum *totals) addKeyDemand(demands map[string]residency.Demand, name, daemon string, keyDemand demand.KeyDemand, sign int) {
	known := demands[name]
	sources := sum.sourcesOf(name)
	sources.count += sign
	known.Waiting += sign * keyDemand.Waiting
	known.Rate += float64(sign) * keyDemand.Rate
	known.Tokens += float64(sign) * keyDemand.Tokens
	known.Rise += float64(sign) * keyDemand.Rise
	known.Refused += float64(sign) * keyDemand.Refused
	known.Target = sources.setTarget(keyDemand.Target, sign)
	if keyDemand.LastArrival.After(known.LastArrival) {
		known.LastArrival = keyDemand.LastArrival
	}
	if keyDemand.Waiting > 0 {
		sources.setOldest(waitingKey{daemon, keyDemand.Key}, keyDemand.Oldest, sign)
		known.Oldest = sources.earliest()
	}
	sum.store(demands, name, known, sources)
}

// sourcesOf returns the sources of the named demand, and creates them if needed.
func (sum *totals) sourcesOf(name string) *demandSources {
	known, ok := sum.sources[name]
	if !ok {
		known = &demandSources{oldest: map[waitingKey]time.Time{}, targets: map[time.Duration]int{}}
		sum.sources[name] = known
	}
	return known
}

// store saves the demand, or removes it if it has no source left.
func (sum *totals) store(demands map[string]residency.Demand, name string, known residency.Demand, sources *demandSources) {
	if sources.count <= 0 {
		delete(demands, name)
		delete(sum.sources, name)
		return
	}
	demands[name] = known
}

// setOldest sets or removes the arrival of the oldest waiting request of a daemon.
func (sources *demandSources) setOldest(key waitingKey, oldest time.Time, sign int) {
	if sign == removed {
		delete(sources.oldest, key)
		return
	}
	sources.oldest[key] = oldest
}

// setTarget adds or removes the latency target of one key demand, and returns the lowest of all; zero if there is none.
func (sources *demandSources) setTarget(target time.Duration, sign int) time.Duration {
	if target > 0 {
		sources.targets[target] += sign
	}
	if sources.targets[target] == 0 {
		delete(sources.targets, target)
	}
	lowest := time.Duration(0)
	for known := range sources.targets {
		if lowest == 0 || known < lowest {
			lowest = known
		}
	}
	return lowest
}

// earliest returns the earliest arrival of a waiting request over all daemons; zero if none waits.
func (sources *demandSources) earliest() time.Time {
	var first time.Time
	for _, oldest := range sources.oldest {
		if first.IsZero() || oldest.Before(first) {
			first = oldest
		}
	}
	return first
}

// addInFlight adds or removes requests in flight for a model or adapter on one replica.
func (sum *totals) addInFlight(replicaKey demand.ReplicaKey, count, sign int) {
	sum.addRunning(sum.models, replicaKey.Model, count, sign)
	addCount(sum.running, replicaKey.Incarnation, replicaKey.Model, sign*count)
	if replicaKey.Adapter == "" {
		return
	}
	key := replicaKey.Model + "/" + replicaKey.Adapter
	sum.addRunning(sum.adapters, key, count, sign)
	addCount(sum.adaptersRunning, replicaKey.Incarnation, key, sign*count)
}

func (sum *totals) addRunning(demands map[string]residency.Demand, name string, count, sign int) {
	known := demands[name]
	sources := sum.sourcesOf(name)
	sources.count += sign
	known.Running += sign * count
	sum.store(demands, name, known, sources)
}

// addCount changes a count and removes it when it reaches zero.
func addCount(to map[topology.Incarnation]map[string]int, engine topology.Incarnation, key string, count int) {
	counts := to[engine]
	if counts == nil {
		counts = map[string]int{}
		to[engine] = counts
	}
	counts[key] += count
	if counts[key] != 0 {
		return
	}
	delete(counts, key)
	if len(counts) == 0 {
		delete(to, engine)
	}
}
