package ratelimit

import (
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

const (
	// tokenLifetime is how long a granted token may be used. The daemon counts it from before it asked.
	tokenLifetime = 2 * time.Second
	// Unclaimed tokens accumulate up to minUnclaimed, or for unclaimedTime if that is more. Tokens that came back are kept
	// beyond it.
	minUnclaimed  = 1.5
	unclaimedTime = 500 * time.Millisecond
	// Tokens that daemons hold unused may all be used at once. There are at most heldTokens of them, and heldTime more
	// at the rate of the limit.
	heldTokens = 3.5
	heldTime   = 1500 * time.Millisecond
	// askerRetention is the time without a question after which a daemon no longer counts as an asker.
	askerRetention = 4 * time.Second
	// maxAsksPerSecond is the number of questions per second about one replica that the askers are told to keep to.
	maxAsksPerSecond = 40.0
	// minAskInterval and maxAskInterval bound the time until a daemon that was granted nothing asks again.
	minAskInterval = 200 * time.Millisecond
	maxAskInterval = 3 * time.Second
)

// Ask is the question of a daemon for tokens of one replica.
type Ask struct {
	// Replica is the incarnation in question.
	Replica topology.Incarnation
	// Sequence is the number of the question, which rises from one to the next, and Answered that of the last one that
	// got a response. Tokens of a response that did not arrive are granted anew.
	Sequence, Answered uint64
	// Held is the number of tokens that the daemon has and can still use.
	Held int
	// Wanted is the number of tokens that it wants beyond them.
	Wanted int
	// Unused is the number of tokens that expired unused since its last question.
	Unused int
}

// Grant is the response to an Ask.
type Grant struct {
	// Tokens is the number of requests that the daemon may send to the replica within tokenLifetime.
	Tokens int
	// Next is how long the daemon waits before it asks again for tokens that it did not get.
	Next time.Duration
	// Refused is set if this daemon does not divide the limit of the replica.
	Refused bool
}

// Allocator divides the limits of replicas among the daemons that ask, as token buckets whose tokens daemons may hold
// for a while. It is safe for concurrent use. Use NewAllocator.
type Allocator struct {
	mutex sync.Mutex
	// buckets maps incarnations to their unclaimed and held tokens.
	buckets map[topology.Incarnation]*bucket
}

// bucket holds the tokens of one replica.
type bucket struct {
	// tokens is the number of unclaimed tokens at updated, from zero to its capacity.
	tokens  float64
	updated time.Time
	// askers maps daemons to their last questions.
	askers map[string]asker
}

// asker is the last question of a daemon.
type asker struct {
	at time.Time
	// sequence is the number of that question, and granted the number of tokens in the response.
	sequence uint64
	granted  int
	// held is the number of tokens that the daemon had after the response, and heldUntil when the last of them expires.
	held      int
	heldUntil time.Time
}

// NewAllocator returns an allocator that has granted nothing.
func NewAllocator() *Allocator {
	return &Allocator{buckets: map[topology.Incarnation]*bucket{}}
}

// Grant responds to the question of a daemon. perSecond is the number of tokens per second for all daemons together.
// Tokens are granted in the order of questions: a bucket that was never asked for is empty.
func (allocator *Allocator) Grant(daemon string, ask Ask, perSecond float64, now time.Time) Grant {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	bucket, known := allocator.buckets[ask.Replica]
	if !known {
		bucket = newBucket(now)
		allocator.buckets[ask.Replica] = bucket
	}
	bucket.refill(perSecond, now)
	bucket.tokens += float64(bucket.returned(daemon, ask))
	bucket.forget(now)
	free := heldTokens + perSecond*heldTime.Seconds() - float64(bucket.heldByOthers(daemon, now)+ask.Held)
	granted := max(min(ask.Wanted, int(bucket.tokens), int(free)), 0)
	bucket.tokens -= float64(granted)
	bucket.record(daemon, ask, granted, now)
	return Grant{Tokens: granted, Next: bucket.nextAsk(perSecond)}
}

// Prune drops the buckets that nobody asked for since the given time.
func (allocator *Allocator) Prune(before time.Time) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for replica, bucket := range allocator.buckets {
		if bucket.updated.Before(before) {
			delete(allocator.buckets, replica)
		}
	}
}

func newBucket(now time.Time) *bucket {
	return &bucket{updated: now, askers: map[string]asker{}}
}

// refill adds the tokens since the last question, up to the capacity.
func (bucket *bucket) refill(perSecond float64, now time.Time) {
	passed := max(now.Sub(bucket.updated), 0)
	bucket.updated = now
	capacity := max(minUnclaimed, perSecond*unclaimedTime.Seconds())
	if bucket.tokens < capacity {
		bucket.tokens = min(bucket.tokens+perSecond*passed.Seconds(), capacity)
	}
}

// returned returns the number of tokens that come back from the daemon: those that expired unused, and those of the last
// response if that did not arrive. It is at most the number that the daemon held.
func (bucket *bucket) returned(daemon string, ask Ask) int {
	last := bucket.askers[daemon]
	returned := max(ask.Unused, 0)
	if ask.Answered < last.sequence {
		returned += last.granted
	}
	return min(returned, last.held)
}

// forget drops daemons that asked long ago and hold no tokens.
func (bucket *bucket) forget(now time.Time) {
	for name, asker := range bucket.askers {
		if now.Sub(asker.at) > askerRetention && !now.Before(asker.heldUntil) {
			delete(bucket.askers, name)
		}
	}
}

// heldByOthers returns the number of tokens that other daemons may still use.
func (bucket *bucket) heldByOthers(daemon string, now time.Time) int {
	held := 0
	for name, asker := range bucket.askers {
		if name != daemon && now.Before(asker.heldUntil) {
			held += asker.held
		}
	}
	return held
}

// record keeps the question of the daemon, and what it holds after the response.
func (bucket *bucket) record(daemon string, ask Ask, granted int, now time.Time) {
	next := asker{at: now, sequence: ask.Sequence, granted: granted, held: ask.Held + granted, heldUntil: bucket.askers[daemon].heldUntil}
	if granted > 0 {
		next.heldUntil = now.Add(tokenLifetime)
	}
	bucket.askers[daemon] = next
}

// nextAsk returns how long a daemon that was granted nothing waits before it asks again: until there is a token, and the
// longer the more daemons ask.
func (bucket *bucket) nextAsk(perSecond float64) time.Duration {
	untilToken := max(1-bucket.tokens, 0) / perSecond
	byAskers := float64(len(bucket.askers)) / maxAsksPerSecond
	next := time.Duration(max(untilToken, byAskers) * float64(time.Second))
	return min(max(next, minAskInterval), maxAskInterval)
}
