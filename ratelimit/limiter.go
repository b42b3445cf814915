package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

const (
	// demandHalfLife is the time in which the weight of an earlier request in the demand halves.
	demandHalfLife = time.Second
	// aheadTime is the time of arrivals for which a daemon wants to have tokens at hand.
	aheadTime = 500 * time.Millisecond
	// demandRetention is the time after the last request that could use one for which a daemon wants a token.
	demandRetention = 2 * time.Second
	// minShortTime is how long the daemon must have been granted too little before the time to a token is estimated.
	minShortTime = time.Second
	// askAgainInterval is the shortest time from a response to the next question about the replica, and
	// failedAskInterval that between two questions if the first got no response.
	askAgainInterval  = 50 * time.Millisecond
	failedAskInterval = 300 * time.Millisecond
)

// Permit states that a request may be sent to a replica. The zero value is that of a replica without a limit.
type Permit struct {
	// Replica is the incarnation that the request may be sent to.
	Replica topology.Incarnation
	// Counted is set if the request uses a token.
	Counted bool
	// until is the end of the token.
	until time.Time
}

// Limiter holds the tokens of one daemon for replicas with limits, and the requests that wait for tokens. It is safe for
// concurrent use. Use NewLimiter.
type Limiter struct {
	table *Table
	// asks receives a value when a question may be due.
	asks chan struct{}

	mutex sync.Mutex
	// shares maps incarnations with a limit to the tokens for them.
	shares map[topology.Incarnation]*share
	// waiters lists the waiting requests, the first to get a token first.
	waiters []*Waiter
}

// NewLimiter returns a limiter for the limits in the table, without tokens.
func NewLimiter(table *Table) *Limiter {
	return &Limiter{table: table, asks: make(chan struct{}, 1), shares: map[topology.Incarnation]*share{}}
}

// Limited reports whether any replica has a limit, at the cost of one atomic read.
func (limiter *Limiter) Limited() bool {
	return limiter.table.count.Load() > 0
}

// Available counts a request that could be sent to the replica if isNew is set, and reports whether it may be sent now
// and whether the replica has a limit.
func (limiter *Limiter) Available(replica topology.Incarnation, isNew bool, now time.Time) (available, limited bool) {
	if _, limited := limiter.table.Limit(replica); !limited {
		return true, false
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share := limiter.share(replica)
	share.expire(now)
	if isNew {
		share.addDemand(now)
	}
	if limiter.wanted(replica, share, now) > 0 && !share.asking && !now.Before(share.nextAsk) {
		limiter.requestAsk()
	}
	return len(share.tokens) > 0, true
}

// Take uses a token for a request to the replica, unless it has no limit. It reports false if there is no token.
func (limiter *Limiter) Take(replica topology.Incarnation, now time.Time) (Permit, bool) {
	if _, limited := limiter.table.Limit(replica); !limited {
		return Permit{Replica: replica}, true
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.take(replica, now)
}

// take is Take for a replica with a limit. The mutex must be held.
func (limiter *Limiter) take(replica topology.Incarnation, now time.Time) (Permit, bool) {
	share := limiter.share(replica)
	share.expire(now)
	if len(share.tokens) == 0 {
		return Permit{}, false
	}
	permit := Permit{Replica: replica, Counted: true, until: share.tokens[0]}
	share.tokens = share.tokens[1:]
	share.sent++
	if len(share.tokens) == 0 && !share.asking {
		share.nextAsk = earliest(share.nextAsk, now.Add(askAgainInterval))
		limiter.requestAsk()
	}
	return permit, true
}

// Return gives back the token of a request that was not sent.
func (limiter *Limiter) Return(permit Permit, now time.Time) {
	if !permit.Counted {
		return
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share := limiter.share(permit.Replica)
	share.sent--
	share.add(permit.until)
	share.expire(now)
	limiter.serveWaiters(permit.Replica, now)
}

// Room returns the expected time until a request that begins to wait now could be sent to the replica; zero if unknown.
func (limiter *Limiter) Room(replica topology.Incarnation, now time.Time) time.Duration {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share := limiter.share(replica)
	short := now.Sub(share.shortSince)
	if share.shortSince.IsZero() || short < minShortTime || now.Sub(share.grantedAt) > maxAskInterval {
		return 0
	}
	rate := (float64(share.shortTokens) + 0.5) / short.Seconds()
	return time.Duration(float64(limiter.waitingFor(replica)+1) / rate * float64(time.Second))
}

// Refuse counts a request that is refused for want of a token of any of the replicas.
func (limiter *Limiter) Refuse(replicas []topology.Incarnation) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, replica := range replicas {
		limiter.share(replica).refused++
	}
}

// Due returns the questions to ask now. Granted or Failed must be called for each of them.
func (limiter *Limiter) Due(now time.Time) []Ask {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	var asks []Ask
	for replica, share := range limiter.shares {
		share.expire(now)
		wanted := limiter.wanted(replica, share, now)
		if share.asking || now.Before(share.nextAsk) || (wanted <= 0 && share.unused == 0) {
			continue
		}
		if _, limited := limiter.table.Limit(replica); !limited {
			continue
		}
		share.asking, share.askedAt = true, now
		share.sequence++
		asks = append(asks, Ask{
			Replica: replica, Sequence: share.sequence, Answered: share.answered,
			Held: len(share.tokens), Wanted: max(wanted, 0), Unused: share.unused,
		})
		share.unused = 0
	}
	return asks
}

// NextDue returns when the next question is due at the latest, and false if none is.
func (limiter *Limiter) NextDue(now time.Time) (time.Time, bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	var next time.Time
	for replica, share := range limiter.shares {
		share.expire(now)
		due := share.nextAsk
		switch {
		case share.asking:
			continue
		case limiter.wanted(replica, share, now) > 0 || share.unused > 0:
		case len(share.tokens) > 0:
			due = latest(due, share.tokens[0])
		default:
			continue
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next, !next.IsZero()
}

// Asks returns a channel that receives a value when a question may be due earlier than NextDue returned.
func (limiter *Limiter) Asks() <-chan struct{} {
	return limiter.asks
}

// Granted records the response to a question.
func (limiter *Limiter) Granted(ask Ask, grant Grant, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share := limiter.share(ask.Replica)
	share.asking = false
	share.answered = ask.Sequence
	share.nextAsk = now.Add(grant.Next)
	share.observeGrant(ask, grant, now)
	if grant.Tokens == 0 {
		return
	}
	for range grant.Tokens {
		share.add(share.askedAt.Add(tokenLifetime))
	}
	limiter.serveWaiters(ask.Replica, now)
	if limiter.wanted(ask.Replica, share, now) > 0 {
		share.nextAsk = earliest(share.nextAsk, now.Add(max(askAgainInterval, grant.Next/2)))
	}
}

// Failed records that a question got no response. Whether tokens were granted is not known: none is used.
func (limiter *Limiter) Failed(ask Ask, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share := limiter.share(ask.Replica)
	share.asking = false
	share.nextAsk = latest(share.askedAt.Add(failedAskInterval), now.Add(askAgainInterval))
}

// Prune drops replicas without a limit. Requests that wait for them are woken.
func (limiter *Limiter) Prune() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for replica, share := range limiter.shares {
		if _, limited := limiter.table.Limit(replica); limited || share.asking {
			continue
		}
		delete(limiter.shares, replica)
		limiter.wakeWaiters(replica)
	}
}

// State is what the daemon has and wants of the limit of one replica, for operators.
type State struct {
	// Replica is the incarnation.
	Replica topology.Incarnation
	// Tokens is the number of tokens at hand, and Waiting that of the requests that wait for one.
	Tokens, Waiting int
	// Sent is the number of requests that used a token so far, and Refused that of those refused for want of one.
	Sent, Refused int
}

// States returns the states of all replicas with a limit that this daemon wanted to send requests to.
func (limiter *Limiter) States(now time.Time) []State {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	states := make([]State, 0, len(limiter.shares))
	for replica, share := range limiter.shares {
		share.expire(now)
		states = append(states, State{replica, len(share.tokens), limiter.waitingFor(replica), share.sent, share.refused})
	}
	return states
}

// share returns the share of the incarnation, which is created on first use. The mutex must be held.
func (limiter *Limiter) share(replica topology.Incarnation) *share {
	known, ok := limiter.shares[replica]
	if !ok {
		known = &share{}
		limiter.shares[replica] = known
	}
	return known
}

// wanted returns how many tokens the daemon wants beyond those at hand: one for each waiting request and those for the
// arrivals of aheadTime, but at least one while there is demand. The mutex must be held.
func (limiter *Limiter) wanted(replica topology.Incarnation, share *share, now time.Time) int {
	wanted := limiter.waitingFor(replica)
	if !share.demandAt.IsZero() && now.Sub(share.demandAt) < demandRetention {
		wanted = max(wanted+int(math.Round(share.demandRate(now)*aheadTime.Seconds())), 1)
	}
	return wanted - len(share.tokens)
}

// requestAsk signals that a question may be due. It does not block.
func (limiter *Limiter) requestAsk() {
	select {
	case limiter.asks <- struct{}{}:
	default:
	}
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
