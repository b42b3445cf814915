package scheduler

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// totals is the demand of all daemons for the engines of one service. A report changes only what it names.
type totals struct {
	models, adapters map[string]residency.Demand
	// shares maps models, and adapters as model/adapter, to what the demand is made of.
	shares map[string]*share
	// running and adaptersRunning map engines to requests in flight by model, or by model/adapter.
	running, adaptersRunning map[topology.Incarnation]map[string]int
}

// share is who asks for a model or adapter.
type share struct {
	// parts is the number of wants and places that are counted; the demand is forgotten with the last.
	parts int
	// oldest maps keys of daemons whose requests wait to when the first of them arrived.
	oldest map[waiter]time.Time
}

// waiter is the requests of one daemon for one key that wait.
type waiter struct {
	daemon string
	demand.Key
}

func newTotals() *totals {
	return &totals{
		models:          map[string]residency.Demand{},
		adapters:        map[string]residency.Demand{},
		shares:          map[string]*share{},
		running:         map[topology.Incarnation]map[string]int{},
		adaptersRunning: map[topology.Incarnation]map[string]int{},
	}
}

// The directions in which a report changes the totals.
const (
	counted = 1
	dropped = -1
)

// want counts or drops what one daemon wants. Requests for an adapter want its model too.
func (sum *totals) want(daemon string, want demand.KeyDemand, sign int) {
	sum.demand(sum.models, want.Model, daemon, want, sign)
	if want.Adapter != "" {
		sum.demand(sum.adapters, want.Model+"/"+want.Adapter, daemon, want, sign)
	}
}

func (sum *totals) demand(of map[string]residency.Demand, name, daemon string, want demand.KeyDemand, sign int) {
	known := of[name]
	share := sum.share(name)
	share.parts += sign
	known.Waiting += sign * want.Waiting
	known.Rate += float64(sign) * want.Rate
	known.Tokens += float64(sign) * want.Tokens
	if want.Target > 0 && (known.Target == 0 || want.Target < known.Target) {
		known.Target = want.Target
	}
	if want.LastArrival.After(known.LastArrival) {
		known.LastArrival = want.LastArrival
	}
	if want.Waiting > 0 {
		share.wait(waiter{daemon, want.Key}, want.Oldest, sign)
		known.Oldest = share.first()
	}
	sum.keep(of, name, known, share)
}

// share returns who asks for the name.
func (sum *totals) share(name string) *share {
	known, ok := sum.shares[name]
	if !ok {
		known = &share{oldest: map[waiter]time.Time{}}
		sum.shares[name] = known
	}
	return known
}

// keep stores the demand, or forgets it if nobody asks for it any more.
func (sum *totals) keep(of map[string]residency.Demand, name string, known residency.Demand, share *share) {
	if share.parts <= 0 {
		delete(of, name)
		delete(sum.shares, name)
		return
	}
	of[name] = known
}

// wait notes or forgets when the first waiting request of a daemon arrived.
func (share *share) wait(who waiter, oldest time.Time, sign int) {
	if sign == dropped {
		delete(share.oldest, who)
		return
	}
	share.oldest[who] = oldest
}

// first returns when the first waiting request of all daemons arrived; zero if none waits.
func (share *share) first() time.Time {
	var first time.Time
	for _, oldest := range share.oldest {
		if first.IsZero() || oldest.Before(first) {
			first = oldest
		}
	}
	return first
}

// run counts or drops requests in flight at one place.
func (sum *totals) run(place demand.ReplicaKey, count, sign int) {
	sum.flight(sum.models, place.Model, count, sign)
	add(sum.running, place.Incarnation, place.Model, sign*count)
	if place.Adapter == "" {
		return
	}
	key := place.Model + "/" + place.Adapter
	sum.flight(sum.adapters, key, count, sign)
	add(sum.adaptersRunning, place.Incarnation, key, sign*count)
}

func (sum *totals) flight(of map[string]residency.Demand, name string, count, sign int) {
	known := of[name]
	share := sum.share(name)
	share.parts += sign
	known.Running += sign * count
	sum.keep(of, name, known, share)
}

// add changes a count and forgets it when it is zero.
func add(to map[topology.Incarnation]map[string]int, engine topology.Incarnation, key string, count int) {
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
