package dispatch

import "github.com/bronzestall/bronzestall/outcome"

// displace makes room in a full daemon for a tenant that has fewer waiting requests for its share than
// another, at the cost of the one with the most. The mutex is held.
func (dispatcher *Dispatcher) displace(waiting *entry) bool {
	tenant := dispatcher.longest()
	own := dispatcher.waitingOf[waiting.Tenant] + 1
	if tenant == waiting.Tenant || own*dispatcher.share(tenant) >= dispatcher.waitingOf[tenant]*dispatcher.share(waiting.Tenant) {
		return false
	}
	var fullest *lane
	for _, lane := range dispatcher.lanes {
		if fullest == nil || lane.queue.Of(tenant) > fullest.queue.Of(tenant) {
			fullest = lane
		}
	}
	if fullest == nil {
		return false
	}
	last := fullest.queue.DropLast(tenant)
	if last == nil {
		return false
	}
	dispatcher.displaced(fullest, last)
	return true
}

// longest returns the tenant with the most waiting requests for its share; ties go by name.
func (dispatcher *Dispatcher) longest() string {
	longest := ""
	for tenant, count := range dispatcher.waitingOf {
		left, right := count*dispatcher.share(longest), dispatcher.waitingOf[longest]*dispatcher.share(tenant)
		if longest == "" || left > right || (left == right && tenant < longest) {
			longest = tenant
		}
	}
	return longest
}

// share returns the weight of the tenant.
func (dispatcher *Dispatcher) share(tenant string) int {
	return max(dispatcher.settings.Shares[tenant], 1)
}

// displaced answers a request that was removed from its queue for another. The mutex is held.
func (dispatcher *Dispatcher) displaced(lane *lane, left *entry) {
	dispatcher.leaveQueue(lane, left)
	failure := outcome.New(outcome.TenantLimit, "the tenant has the most requests in a full queue")
	left.Item.granted <- grant{failure: failure.WithRetryAfter(dispatcher.clears(lane))}
}
