package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

const (
	// MaxWait is the longest time for which a request waits for an amount to be granted.
	MaxWait = 50 * time.Millisecond
	// minRetryAfter is the least time after which a refused request may be sent again, and retryJitter the largest fraction by which
	// the time is prolonged at random.
	minRetryAfter = 50 * time.Millisecond
	retryJitter   = 0.5
	// minAskInterval is the shortest time between two questions, and failedAskInterval that between two if the first got no response.
	minAskInterval    = 10 * time.Millisecond
	failedAskInterval = 100 * time.Millisecond
)

// Limiter holds what one daemon may use of the quotas of accounts, and the requests that wait for more. It is safe for concurrent use.
// Use NewLimiter.
type Limiter struct {
	// asks receives a value when a question may be due.
	asks chan struct{}

	mutex  sync.Mutex
	random *rand.Rand
	// seen is the number of daemons among which the rate is divided while no grantor answers.
	seen int
	// shares maps the names of accounts to what the daemon has of them.
	shares map[string]*share
}

// NewLimiter returns a limiter that holds nothing. random spreads the times at which refused requests return.
func NewLimiter(random *rand.Rand) *Limiter {
	return &Limiter{asks: make(chan struct{}, 1), random: random, seen: 1, shares: map[string]*share{}}
}

// SetSeen sets the number of daemons that were seen lately, this one included.
func (limiter *Limiter) SetSeen(seen int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.seen = max(seen, 1)
}

// Take charges a request of an account with a quota, or lets it wait for at most MaxWait if an amount is on its way. Leave must be called
// once the waiter is ready or the wait ends.
func (limiter *Limiter) Take(account *topology.Account, cost float64, now time.Time) *Waiter {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share := limiter.share(account.Name)
	share.quota = account.Quota
	share.addDemand(cost, now)
	waiter := &Waiter{share: share, account: account.Name, cost: cost, until: now.Add(MaxWait), ready: make(chan struct{})}
	share.waiters = append(share.waiters, waiter)
	limiter.serve(share, now)
	if !waiter.IsReady() && share.isCrowded() {
		waiter.remove()
		waiter.refuse(limiter.retryAfter(waiter, now))
	}
	if _, due := share.dueAt(now); due {
		limiter.requestAsk()
	}
	return waiter
}

// announceInterval is the time between two announcements of a daemon that has just started.
const announceInterval = time.Second

// Announce lets the daemon ask for the accounts with a quota although they have no requests, so that their grantors count its share of
// the rate. It is called while the daemon has just started, and a grantor counts only the daemons that asked.
func (limiter *Limiter) Announce(accounts []topology.Account, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for index := range accounts {
		account := &accounts[index]
		if !account.Quota.Limited() {
			continue
		}
		share := limiter.share(account.Name)
		if now.Sub(share.askedAt) >= announceInterval {
			share.announcing = true
			limiter.requestAsk()
		}
	}
}

// Leave ends the wait. It returns the charge if the request is admitted, and otherwise the time after which it may be sent again.
func (limiter *Limiter) Leave(waiter *Waiter, now time.Time) (charge Charge, retryAfter time.Duration, admitted bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if !waiter.IsReady() {
		waiter.remove()
		waiter.refuse(limiter.retryAfter(waiter, now))
	}
	return waiter.charge, waiter.retryAfter, waiter.admitted
}

// Return gives back the charge of a request that did not run, to the grantor with the next question. What the grantor granted since
// then counts, so that the requests that run stay within the quota.
func (limiter *Limiter) Return(charge Charge) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share, known := limiter.shares[charge.account]
	if !known || charge.cost <= 0 {
		return
	}
	share.used -= charge.cost
	if share.fallback.active {
		share.fallback.tokens += charge.cost
		return
	}
	share.returned += charge.cost
}

// Due returns the questions to ask now. Granted or Failed must be called for each of them.
func (limiter *Limiter) Due(now time.Time) []Ask {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	var asks []Ask
	for account, share := range limiter.shares {
		if at, due := share.dueAt(now); !due || now.Before(at) {
			continue
		}
		share.expire(now)
		share.asking, share.askedAt = true, now
		share.sequence++
		held := share.atHand(now)
		first, need := share.needs(now)
		share.open = share.hasDemand(now) || share.announcing
		share.announcing = false
		asks = append(asks, Ask{
			Account: account, Sequence: share.sequence, Answered: share.answered, Held: held, First: first, Need: need, Mean: share.mean(),
			Ahead: max(share.wanted(now)-max(held-first, 0), 0), Returned: share.returned, Demand: share.demand(now), Closing: !share.open,
		})
		share.returned = 0
	}
	return asks
}

// NextDue returns when the next question is due at the latest, and false if none is.
func (limiter *Limiter) NextDue(now time.Time) (time.Time, bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	var next time.Time
	for _, share := range limiter.shares {
		due, wants := share.dueAt(now)
		switch {
		case wants:
		case !share.asking && share.open && len(share.amounts) > 0 && share.amounts[0].until.Before(share.demandAt.Add(demandRetention)):
			due = share.amounts[0].until
		case !share.asking && share.open:
			due = share.demandAt.Add(demandRetention)
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

// Granted records the response to a question. A response that refuses counts as none.
func (limiter *Limiter) Granted(ask Ask, grant Grant, now time.Time) {
	if grant.Refused {
		limiter.Failed(ask, now)
		return
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share, known := limiter.shares[ask.Account]
	if !known || share.sequence != ask.Sequence {
		return
	}
	share.asking, share.failures, share.answered, share.answeredAt = false, 0, ask.Sequence, now
	share.fallback.active = false
	share.short, share.available = grant.Available > 0, now.Add(grant.Available)
	if grant.Amount > 0 {
		share.add(amount{grant.Amount, share.askedAt.Add(amountLifetime)})
	}
	share.nextAsk = latest(share.askedAt.Add(minAskInterval), now.Add(grant.Next))
	share.nextAhead = now.Add(aheadInterval)
	if grant.Amount < ask.Need+ask.Ahead {
		share.nextAhead = now.Add(shortAheadInterval)
	}
	limiter.serve(share, now)
	// NextDue states no time for an account while a question about it is under way, so that its caller must be woken.
	limiter.requestAsk()
}

// Failed records that a question got no response. Whether an amount was granted is not known: none is used.
func (limiter *Limiter) Failed(ask Ask, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share, known := limiter.shares[ask.Account]
	if !known || share.sequence != ask.Sequence {
		return
	}
	share.asking = false
	share.failures++
	share.nextAsk = latest(share.askedAt.Add(failedAskInterval), now)
	if share.failures >= fallbackAfter && now.Sub(share.answeredAt) >= fallbackTime {
		share.fallback.begin(share.mean(), now, limiter.random)
	}
	limiter.serve(share, now)
	limiter.requestAsk()
}

// Prune drops what is known of accounts that have no quota any more.
func (limiter *Limiter) Prune(accounts []topology.Account) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limited := map[string]bool{}
	for index := range accounts {
		limited[accounts[index].Name] = accounts[index].Quota.Limited()
	}
	for name, share := range limiter.shares {
		if !limited[name] && !share.asking && len(share.waiters) == 0 {
			delete(limiter.shares, name)
		}
	}
}

// State is what the daemon has and wants of the quota of one account, for operators.
type State struct {
	// Account is the name of the account.
	Account string
	// Used is what requests used so far, Held what is at hand, and Refused the number of requests refused so far.
	Used, Held float64
	Refused    int64
	// Waiting is the number of requests that wait.
	Waiting int
	// Alone is set while no grantor answers.
	Alone bool
}

// States returns the states of all accounts that this daemon had requests of lately.
func (limiter *Limiter) States(now time.Time) []State {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	states := make([]State, 0, len(limiter.shares))
	for name, share := range limiter.shares {
		states = append(states, State{name, share.used, share.atHand(now), share.refused, len(share.waiters), share.fallback.active})
	}
	return states
}

// serve admits waiting requests, in the order of their arrival, and refuses those for which nothing can arrive in time. The mutex must
// be held.
func (limiter *Limiter) serve(share *share, now time.Time) {
	for len(share.waiters) > 0 {
		first := share.waiters[0]
		ok := share.take(first.cost, now)
		if !ok && share.fallback.active && share.fallback.missing(first.cost, limiter.equalShare(share), now) <= 0 {
			share.fallback.tokens -= first.cost
			ok = true
		}
		if !ok {
			break
		}
		first.remove()
		first.admit()
	}
	if share.asking && !share.fallback.active {
		return
	}
	for _, waiter := range append([]*Waiter(nil), share.waiters...) {
		if share.fallback.active || share.nextAsk.After(waiter.until) {
			waiter.remove()
			waiter.refuse(limiter.retryAfter(waiter, now))
		}
	}
}

// equalShare returns the part of the rate that this daemon may use on its own. The mutex must be held.
func (limiter *Limiter) equalShare(share *share) float64 {
	return share.quota.PerSecond / float64(limiter.seen)
}

// retryAfter returns when there will be enough for the request, with jitter. The mutex must be held.
func (limiter *Limiter) retryAfter(waiter *Waiter, now time.Time) time.Duration {
	share := waiter.share
	after := share.available.Sub(now)
	if share.fallback.active {
		perSecond := limiter.equalShare(share)
		after = seconds(share.fallback.missing(waiter.cost, perSecond, now) / perSecond)
	}
	after = max(after, minRetryAfter)
	return after + time.Duration(limiter.random.Float64()*retryJitter*float64(after))
}

// share returns the share of the account, which is created on first use. The mutex must be held.
func (limiter *Limiter) share(account string) *share {
	known, ok := limiter.shares[account]
	if !ok {
		known = &share{}
		limiter.shares[account] = known
	}
	return known
}

// requestAsk signals that a question may be due. It does not block.
func (limiter *Limiter) requestAsk() {
	select {
	case limiter.asks <- struct{}{}:
	default:
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
