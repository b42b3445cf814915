package quota

import (
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// Allocator divides the quotas of accounts among the daemons that ask. It is safe for concurrent use. Use NewAllocator.
type Allocator struct {
	name string
	// slack is what an account may use in any window beyond its quota.
	slack float64

	mutex sync.Mutex
	// buckets maps the names of accounts with a quota to their buckets.
	buckets map[string]*bucket
}

// slackShare is the fraction of the slack by which a bucket may exceed the burst. The rest is for the debts of large requests, and for
// daemons that differ in whom they see.
const slackShare = 0.25

// NewAllocator returns the allocator of the daemon with the name, which knows no accounts. slack is the number of tokens that an account
// with a quota of tokens may use in any window beyond its quota.
func NewAllocator(name string, slack float64) *Allocator {
	return &Allocator{name: name, slack: slack, buckets: map[string]*bucket{}}
}

// Observe sets the accounts and the daemons that are known, and fills the buckets. It must be called more often than every second:
// a longer pause counts as a suspension, in which the buckets do not fill.
func (allocator *Allocator) Observe(accounts []topology.Account, members Members, now time.Time) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	limited := map[string]bool{}
	for index := range accounts {
		account := &accounts[index]
		if !account.Quota.Limited() {
			continue
		}
		limited[account.Name] = true
		known, ok := allocator.buckets[account.Name]
		if !ok {
			known = newBucket(now)
			allocator.buckets[account.Name] = known
		}
		grantors := ratelimit.Grantors(members.Live, account.Name)
		allowance := 0.0
		if account.Quota.Tokens {
			allowance = slackShare * allocator.slack
		}
		known.observe(account.Quota, allowance, len(grantors) > 0 && grantors[0] == allocator.name, members, now)
	}
	for name := range allocator.buckets {
		if !limited[name] {
			delete(allocator.buckets, name)
		}
	}
}

// Grant responds to the question of a daemon. Amounts are granted in the order of questions.
func (allocator *Allocator) Grant(daemon string, ask Ask, now time.Time) Grant {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	bucket, known := allocator.buckets[ask.Account]
	if !known {
		return Grant{Refused: true}
	}
	return bucket.grant(daemon, ask, now)
}
