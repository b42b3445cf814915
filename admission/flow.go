package admission

import "time"

// maxLag bounds how far the requests of an account are put back, so that it is served again soon after it stops flooding.
const maxLag = 5 * time.Second

// flow is the use of a queue by one account.
type flow struct {
	// share is its weight, and waiting the number of its waiting requests.
	share   float64
	waiting int
	// next is when its next request would start if it got just its share.
	next time.Time
}

// lag returns how far the account is ahead of its share.
func (flow *flow) lag(now time.Time) time.Duration {
	return min(max(flow.next.Sub(now), 0), maxLag)
}

// charge adds a request that keeps the other accounts waiting for the time.
func (flow *flow) charge(cost time.Duration, now time.Time) {
	flow.next = now.Add(min(flow.lag(now)+cost, maxLag))
}
