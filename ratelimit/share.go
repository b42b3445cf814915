package ratelimit

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/internal/decay"
)

// share is what the daemon has of one limit, and what it wants.
type share struct {
	// tokens lists the ends of the tokens at hand, the earliest first.
	tokens []time.Time
	// unused is the number of tokens that expired since the last question.
	unused int
	// demand is the decayed number of requests that could have been sent to the replica, as of demandAt.
	demand   float64
	demandAt time.Time
	// nextAsk is the earliest time of the next question, and asking is set while one is under way, which was asked at
	// askedAt.
	nextAsk, askedAt time.Time
	asking           bool
	// sequence is the number of the last question, and answered that of the last one that got a response.
	sequence, answered uint64
	// shortSince is the time since which the daemon was granted less than it wants; zero if it was granted all. shortTokens
	// is the number of tokens granted since then, and grantedAt the time of the last response.
	shortSince  time.Time
	shortTokens int
	grantedAt   time.Time
	// sent is the number of tokens used, and refused that of the requests that were refused for want of one.
	sent, refused int
}

// add keeps a token until the given time.
func (share *share) add(until time.Time) {
	at, _ := slices.BinarySearchFunc(share.tokens, until, func(token, until time.Time) int { return token.Compare(until) })
	share.tokens = slices.Insert(share.tokens, at, until)
}

// expire drops the tokens that have ended.
func (share *share) expire(now time.Time) {
	for len(share.tokens) > 0 && !now.Before(share.tokens[0]) {
		share.tokens = share.tokens[1:]
		share.unused++
		share.nextAsk = earliest(share.nextAsk, now)
	}
}

// addDemand counts a request that could be sent to the replica.
func (share *share) addDemand(now time.Time) {
	share.demand = share.demand*decay.Weight(now.Sub(share.demandAt), demandHalfLife) + 1
	share.demandAt = now
}

// demandRate returns the number of requests per second that could be sent to the replica.
func (share *share) demandRate(now time.Time) float64 {
	return decay.Rate(share.demand, now.Sub(share.demandAt), demandHalfLife)
}

// observeGrant counts the granted tokens while they are fewer than those wanted.
func (share *share) observeGrant(ask Ask, grant Grant, now time.Time) {
	share.grantedAt = now
	switch {
	case grant.Tokens >= ask.Wanted:
		share.shortSince = time.Time{}
	case share.shortSince.IsZero():
		share.shortSince, share.shortTokens = now, 0
	default:
		share.shortTokens += grant.Tokens
	}
}
