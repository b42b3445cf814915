package dispatch

import "github.com/bronzestall/bronzestall/outcome"

// displace rejects the last request of the tenant with the most waiting requests relative to its share, if the
// new request's tenant has fewer. It reports whether there is room now. The mutex must be held.
func (dispatcher *Dispatcher) displace(waiting *entry) bool {
	tenant := dispatcher.longest()
	own := dispatcher.waitingByTenant[waiting.Tenant] + 1
	if tenant == waiting.Tenant || own*dispatcher.share(tenant) >= dispatcher.waitingByTenant[tenant]*dispatcher.share(waiting.Tenant) {
		return false
	}
	var fullest *workload
	for _, workload := range dispatcher.workloads {
		if fullest == nil || workload.queue.TenantLen(tenant) > fullest.queue.TenantLen(tenant) {
			fullest = workload
		}
	}
	if fullest == nil {
		return false
	}
	last := fullest.queue.DropLast(tenant)
	if last == nil {
		return false
	}
	dispatcher.rejectDisplaced(fullest, last)
	return true
}

// longest returns the tenant with the most waiting requests relative to its share; ties go by name.
func (dispatcher *Dispatcher) longest() string {
	longest := ""
	for tenant, count := range dispatcher.waitingByTenant {
		ownLength, longestLength := count*dispatcher.share(longest), dispatcher.waitingByTenant[longest]*dispatcher.share(tenant)
		if longest == "" || ownLength > longestLength || (ownLength == longestLength && tenant < longest) {
			longest = tenant
		}
	}
	return longest
}

// share returns the weight of the tenant.
func (dispatcher *Dispatcher) share(tenant string) int {
	return max(dispatcher.settings.Shares[tenant], 1)
}

// rejectDisplaced rejects a request that was removed from its queue to make room for another. The mutex must
// be held.
func (dispatcher *Dispatcher) rejectDisplaced(workload *workload, removed *entry) {
	dispatcher.leaveQueue(workload, removed)
	failure := outcome.New(outcome.TenantLimit, "the tenant has the most requests in a full queue")
	removed.Item.granted <- grant{failure: failure.WithRetryAfter(dispatcher.timeUntilRoom(workload))}
}
