package quota

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

const (
	// amountLifetime is how long a granted amount may be used. The daemon counts it from before it asked.
	amountLifetime = time.Second
	// firmTime is the time for which a daemon must have been the first grantor, by its own view, before it grants the shares of
	// daemons that did not ask it: until then the former one may grant these.
	firmTime = 3 * time.Second
	// touchTime is the time after a question for which a daemon that is not the first grantor for firmTime counts the share of the asker.
	touchTime = 1500 * time.Millisecond
	// silentTime is the time without a question after which a daemon with demand may use its equal share on its own.
	silentTime = 700 * time.Millisecond
	// askerRetention is the time after its last question for which a daemon is remembered.
	askerRetention = time.Minute
	// maxRefill bounds the time for which a bucket is filled at once. It is filled more often than that unless the daemon was frozen,
	// and others granted meanwhile.
	maxRefill = time.Second
	// aheadShare is the fraction of the bucket's size that daemons may hold ahead of their demand.
	aheadShare = 0.25
	// fullShare is the fraction of its size from which a bucket counts as full, which allows for rounding.
	fullShare = 0.999
	// maxAsksPerSecond is the number of questions per second about one account that the askers are told to keep to.
	maxAsksPerSecond = 150.0
	// minNext and maxNext bound the time until a daemon that got too little asks again.
	minNext = 25 * time.Millisecond
	maxNext = 500 * time.Millisecond
)

// bucket is the token bucket of one account at one daemon. What it holds and what daemons hold of it is at most its size together.
type bucket struct {
	quota topology.Quota
	// allowance is added to the burst.
	allowance float64
	// tokens is the amount at updated. It is negative after a request that costs more than the burst.
	tokens  float64
	updated time.Time
	// first is set if this daemon is the first grantor since firstSince.
	first      bool
	firstSince time.Time
	// live and seen are the numbers of daemons that are live and that were seen lately.
	live, seen float64
	askers     map[string]*asker
}

func newBucket(now time.Time) *bucket {
	return &bucket{updated: now, askers: map[string]*asker{}}
}

// observe sets the quota and the place of this daemon.
func (bucket *bucket) observe(quota topology.Quota, allowance float64, first bool, members Members, now time.Time) {
	bucket.quota, bucket.allowance = quota, allowance
	bucket.live, bucket.seen = float64(len(members.Live)), float64(max(members.Seen, len(members.Live), 1))
	if first && !bucket.first {
		bucket.firstSince = now
		bucket.tokens = min(bucket.tokens, 0)
	}
	bucket.first = first
	bucket.refill(now)
	for name, asker := range bucket.askers {
		if now.Sub(asker.at) > askerRetention {
			delete(bucket.askers, name)
		}
	}
}

// isFirm reports whether no other daemon that sees this one takes itself for the first grantor.
func (bucket *bucket) isFirm(now time.Time) bool {
	return bucket.first && now.Sub(bucket.firstSince) >= firmTime
}

// asking returns the fraction of the daemons that asked this one lately.
func (bucket *bucket) asking(now time.Time) float64 {
	count := 0.0
	for _, asker := range bucket.askers {
		if !asker.isSilent(touchTime, now) {
			count++
		}
	}
	return min(count/bucket.seen, 1)
}

// size returns the bucket's size: the part of the burst that this daemon divides.
func (bucket *bucket) size(now time.Time) float64 {
	if !bucket.isFirm(now) {
		return (bucket.quota.Burst + bucket.allowance) * bucket.asking(now)
	}
	return (bucket.quota.Burst + bucket.allowance) * min(bucket.live/bucket.seen, 1)
}

// rate returns what this daemon grants per second. Every daemon has an equal share of the rate, which counts at one grantor, or which
// it uses on its own if it reaches none: the sum over all grantors and daemons is the rate, whatever they know of each other.
func (bucket *bucket) rate(now time.Time) float64 {
	if !bucket.isFirm(now) {
		return bucket.quota.PerSecond * bucket.asking(now)
	}
	rate := bucket.quota.PerSecond * min(bucket.live/bucket.seen, 1)
	share := bucket.quota.PerSecond / bucket.seen
	for _, asker := range bucket.askers {
		if !asker.closed && asker.isSilent(silentTime, now) {
			rate -= min(share, asker.demand)
		}
	}
	return max(rate, 0)
}

// held returns the most that daemons can use of what they were granted.
func (bucket *bucket) held(now time.Time) float64 {
	held := 0.0
	for _, asker := range bucket.askers {
		held += asker.usable(now)
	}
	return held
}

// refill adds what the time since the last call allows.
func (bucket *bucket) refill(now time.Time) {
	// Callers take the time before they get the mutex, so that it may be earlier than that of the last call.
	if !now.After(bucket.updated) {
		return
	}
	passed := min(now.Sub(bucket.updated), maxRefill)
	bucket.updated = now
	bucket.add(bucket.rate(now)*passed.Seconds(), now)
}

// add adds the amount, as far as the bucket has room.
func (bucket *bucket) add(amount float64, now time.Time) {
	bucket.tokens = min(bucket.tokens+amount, max(bucket.size(now)-bucket.held(now), 0))
}

// grant responds to the question of a daemon.
func (bucket *bucket) grant(daemon string, ask Ask, now time.Time) Grant {
	known, ok := bucket.askers[daemon]
	if !ok {
		known = &asker{}
		bucket.askers[daemon] = known
	}
	if known.isLate(ask) {
		return Grant{Next: minNext}
	}
	back := known.returned(ask)
	known.observe(ask, 0, now)
	known.held = max(ask.Held, 0)
	bucket.refill(now)
	bucket.add(back, now)
	grant := Grant{Amount: bucket.needed(ask, now)}
	bucket.tokens -= grant.Amount
	known.unmet = max(ask.Need-grant.Amount, 0)
	if ask.First > 0 && grant.Amount < ask.First {
		grant.Available = bucket.available(daemon, ask, now)
		grant.Next = bucket.next(ask, now)
		known.observe(ask, grant.Next, now)
	} else {
		ahead := bucket.ahead(ask, grant.Amount, now)
		bucket.tokens -= ahead
		grant.Amount += ahead
	}
	known.sequence, known.granted = ask.Sequence, grant.Amount
	if grant.Amount > 0 {
		known.held += grant.Amount
		known.heldUntil = now.Add(amountLifetime)
	}
	return grant
}

// needed returns what is granted for waiting requests: nothing if the first one cannot run with it. A request that costs more than the
// size needs a full bucket.
func (bucket *bucket) needed(ask Ask, now time.Time) float64 {
	if ask.First <= 0 {
		return 0
	}
	if bucket.tokens >= ask.First {
		return bucket.wholeRequests(ask)
	}
	size := bucket.size(now)
	if ask.First+ask.Held > size && bucket.tokens >= 0 && bucket.tokens+bucket.held(now) >= size*fullShare {
		return ask.First
	}
	return 0
}

// wholeRequests returns what is granted of the need: all of it or the first request. A part of another request would be held in vain.
func (bucket *bucket) wholeRequests(ask Ask) float64 {
	if ask.Need > bucket.tokens {
		return ask.First
	}
	return max(ask.Need, ask.First)
}

// ahead returns what is granted beyond the needed amount for requests that the daemon expects.
func (bucket *bucket) ahead(ask Ask, needed float64, now time.Time) float64 {
	room := aheadShare*bucket.size(now) - bucket.held(now) - needed
	ahead := min(ask.Ahead, bucket.tokens/2, room)
	if ahead < ask.Mean {
		return 0
	}
	return ahead
}

// available returns the time until there is enough for the first request of the question, after what other daemons wait for.
func (bucket *bucket) available(daemon string, ask Ask, now time.Time) time.Duration {
	missing := bucket.missing(ask, now)
	for name, asker := range bucket.askers {
		if name != daemon && now.Sub(asker.at) <= silentTime {
			missing += asker.unmet
		}
	}
	return max(bucket.timeOf(missing, now), minNext)
}

// missing returns what the bucket lacks for the first request of the question.
func (bucket *bucket) missing(ask Ask, now time.Time) float64 {
	return min(ask.First, bucket.size(now)) - bucket.tokens
}

// timeOf returns the time in which the amount is added.
func (bucket *bucket) timeOf(amount float64, now time.Time) time.Duration {
	return seconds(amount / max(bucket.rate(now), bucket.quota.PerSecond/bucket.seen))
}

// next returns how long a daemon that was granted too little waits before it asks again, the longer the more daemons ask.
func (bucket *bucket) next(ask Ask, now time.Time) time.Duration {
	byAskers := seconds(bucket.asking(now) * bucket.seen / maxAsksPerSecond)
	return min(max(bucket.timeOf(bucket.missing(ask, now), now), byAskers, minNext), maxNext)
}

// maxSeconds bounds the times that are computed from rates.
const maxSeconds = 3600

func seconds(value float64) time.Duration {
	return time.Duration(min(max(value, 0), maxSeconds) * float64(time.Second))
}
