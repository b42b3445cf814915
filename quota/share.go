package quota

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/internal/decay"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// demandHalfLife is the time in which the weight of an earlier request in the demand halves.
	demandHalfLife = time.Second
	// aheadTime is the time of demand for which a daemon wants to have an amount at hand, and aheadRequests the number of mean requests
	// for which it wants one at least.
	aheadTime     = 500 * time.Millisecond
	aheadRequests = 2
	// demandRetention is the time after the last request for which a daemon wants amounts.
	demandRetention = 2 * time.Second
	// aheadInterval is the shortest time between two questions for which no request waits, and shortAheadInterval the same if the first
	// brought less than was wanted.
	aheadInterval      = 100 * time.Millisecond
	shortAheadInterval = time.Second
	// expiryMargin is the time within which a question gets its response.
	expiryMargin = 100 * time.Millisecond
)

// amount is what a grant left at hand until a time.
type amount struct {
	value float64
	until time.Time
}

// share is what the daemon has of the quota of one account, and what it wants.
type share struct {
	quota topology.Quota
	// amounts lists what is at hand, the first to expire first.
	amounts []amount
	// returned is what expired or was given back since the last question.
	returned float64
	// cost and count are the decayed cost and number of requests, as of demandAt.
	cost, count float64
	demandAt    time.Time
	// asking is set while a question is under way that was asked at askedAt; nextAsk is the earliest time of the next one.
	asking           bool
	askedAt, nextAsk time.Time
	// nextAhead is the earliest time of the next question if no request waits.
	nextAhead time.Time
	// announcing is set until the next question, if that is due without demand.
	announcing bool
	// open is set from the first question until one that states the end of the demand.
	open bool
	// sequence is the number of the last question, and answered that of the last one that got a response. failures counts the
	// questions since then.
	sequence, answered uint64
	failures           int
	// answeredAt is the time of that response.
	answeredAt time.Time
	// short is set if the last response brought too little for the first waiting request, and available is when there will be enough.
	short     bool
	available time.Time
	waiters   []*Waiter
	fallback  fallback
	// used is what was used so far, and refused the number of requests that were refused.
	used    float64
	refused int64
}

// atHand returns what can be used at the time, if nothing else is used until then.
func (share *share) atHand(at time.Time) float64 {
	total := 0.0
	for _, amount := range share.amounts {
		if at.Before(amount.until) {
			total += amount.value
		}
	}
	return total
}

// expire drops what can no longer be used.
func (share *share) expire(now time.Time) {
	for len(share.amounts) > 0 && !now.Before(share.amounts[0].until) {
		share.returned += share.amounts[0].value
		share.amounts = share.amounts[1:]
	}
}

// add keeps an amount until the given time.
func (share *share) add(added amount) {
	at, _ := slices.BinarySearchFunc(share.amounts, added.until, func(amount amount, until time.Time) int { return amount.until.Compare(until) })
	share.amounts = slices.Insert(share.amounts, at, added)
}

// take uses the cost. It reports false if there is less.
func (share *share) take(cost float64, now time.Time) bool {
	share.expire(now)
	if share.atHand(now) < cost {
		return false
	}
	for rest := cost; rest > 0 && len(share.amounts) > 0; {
		first := &share.amounts[0]
		part := min(rest, first.value)
		rest -= part
		first.value -= part
		if first.value <= 0 {
			share.amounts = share.amounts[1:]
		}
	}
	return true
}

// addDemand counts a request.
func (share *share) addDemand(cost float64, now time.Time) {
	weight := decay.Weight(now.Sub(share.demandAt), demandHalfLife)
	share.cost, share.count = share.cost*weight+cost, share.count*weight+1
	share.demandAt = now
}

// demand returns what requests cost per second.
func (share *share) demand(now time.Time) float64 {
	return decay.Rate(share.cost, now.Sub(share.demandAt), demandHalfLife)
}

// mean returns what a request costs on average; zero before the first.
func (share *share) mean() float64 {
	if share.count == 0 {
		return 0
	}
	return share.cost / share.count
}

// hasDemand reports whether there were requests lately.
func (share *share) hasDemand(now time.Time) bool {
	return len(share.waiters) > 0 || (!share.demandAt.IsZero() && now.Sub(share.demandAt) < demandRetention)
}

// wanted returns what the daemon wants to have at hand beyond what waiting requests need.
func (share *share) wanted(now time.Time) float64 {
	if !share.hasDemand(now) {
		return 0
	}
	return max(share.demand(now)*aheadTime.Seconds(), aheadRequests*share.mean())
}

// needs returns what the first waiting request and all of them lack. What expires before the response may arrive does not count.
func (share *share) needs(now time.Time) (first, all float64) {
	if len(share.waiters) == 0 {
		return 0, 0
	}
	for _, waiter := range share.waiters {
		all += waiter.cost
	}
	atHand := share.atHand(now.Add(expiryMargin))
	return share.waiters[0].cost - atHand, all - atHand
}

// isCrowded reports whether so many requests wait that not all of them can be admitted in time, since the quota is used up and the rate
// adds less than they cost. One may wait in any case.
func (share *share) isCrowded() bool {
	if !share.short || len(share.waiters) <= 1 {
		return false
	}
	total := 0.0
	for _, waiter := range share.waiters {
		total += waiter.cost
	}
	return total > share.quota.PerSecond*MaxWait.Seconds()
}

// dueAt returns when the daemon wants to ask, if it does: for waiting requests, when what is at hand runs low, or to state that its demand
// ended.
func (share *share) dueAt(now time.Time) (time.Time, bool) {
	switch {
	case share.asking:
		return time.Time{}, false
	case !share.hasDemand(now):
		return share.nextAsk, share.open || share.announcing
	case len(share.waiters) > 0:
		return share.nextAsk, true
	default:
		return latest(share.nextAsk, share.nextAhead), share.atHand(now) < share.wanted(now)/2
	}
}
