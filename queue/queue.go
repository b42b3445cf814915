package queue

import (
	"cmp"
	"slices"
)

// Queue orders the waiting requests of one model. It is not safe for concurrent use.
type Queue[T any] struct {
	// capacity is the largest number of entries.
	capacity int
	// flows holds the flows with entries, and empty ones whose start is later than virtualTime.
	flows map[string]*flow[T]
	// virtualTime is the virtual start time of the last entry that was served.
	virtualTime float64
	// length is the number of entries.
	length int
}

// New returns an empty queue for at most capacity entries.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, flows: map[string]*flow[T]{}}
}

// Len returns the number of entries.
func (queue *Queue[T]) Len() int {
	return queue.length
}

// TenantLen returns the number of entries of the tenant.
func (queue *Queue[T]) TenantLen(tenant string) int {
	flow, ok := queue.flows[tenant]
	if !ok {
		return 0
	}
	return len(flow.entries)
}

// DropLast removes and returns the last entry of the tenant, or nil if it has none.
func (queue *Queue[T]) DropLast(tenant string) *Entry[T] {
	if queue.TenantLen(tenant) == 0 {
		return nil
	}
	last := queue.flows[tenant].last()
	queue.Remove(last)
	return last
}

// Push adds an entry. In a full queue it displaces the last entry of the tenant with the most entries relative
// to its share, if the tenant of the new entry has fewer; the displaced entry is returned and no longer waits.
// Push reports whether the entry was added.
func (queue *Queue[T]) Push(entry *Entry[T]) (displaced *Entry[T], ok bool) {
	if queue.length >= queue.capacity {
		displaced = queue.displace(entry)
		if displaced == nil {
			return nil, false
		}
	}
	queue.flow(entry).insert(entry)
	queue.length++
	return displaced, true
}

// Peek returns the next entry in fair order, or nil.
func (queue *Queue[T]) Peek() *Entry[T] {
	next := queue.next()
	if next == nil {
		return nil
	}
	return next.entries[0]
}

// Pop removes and returns the next entry in fair order, or nil, and charges its tenant.
func (queue *Queue[T]) Pop() *Entry[T] {
	entry := queue.Peek()
	if entry != nil {
		queue.Take(entry)
	}
	return entry
}

// Take removes a waiting entry that is served now and charges its cost to its tenant.
func (queue *Queue[T]) Take(entry *Entry[T]) {
	flow := entry.flow
	queue.virtualTime = max(queue.virtualTime, flow.start)
	flow.remove(entry)
	queue.length--
	flow.start += float64(max(entry.Cost, 1)) / float64(flow.share)
	queue.prune()
}

// Remove removes the entry without a charge. It does nothing if the entry is not in the queue.
func (queue *Queue[T]) Remove(entry *Entry[T]) {
	if entry.flow == nil {
		return
	}
	entry.flow.remove(entry)
	queue.length--
	queue.prune()
}

// Each calls visit for each entry until it returns false. The queue must not change meanwhile.
func (queue *Queue[T]) Each(visit func(entry *Entry[T]) bool) {
	for _, flow := range queue.flows {
		for _, entry := range flow.entries {
			if !visit(entry) {
				return
			}
		}
	}
}

// flow returns the flow of the entry's tenant and creates it if it does not exist. A flow without entries
// starts at virtualTime or later, so that an idle tenant gains no credit.
func (queue *Queue[T]) flow(entry *Entry[T]) *flow[T] {
	found, ok := queue.flows[entry.Tenant]
	if !ok {
		found = &flow[T]{tenant: entry.Tenant}
		queue.flows[entry.Tenant] = found
	}
	found.share = max(entry.Share, 1)
	if len(found.entries) == 0 {
		found.start = max(found.start, queue.virtualTime)
	}
	return found
}

// next returns the flow with entries and the earliest virtual start time; ties go by name.
func (queue *Queue[T]) next() *flow[T] {
	var best *flow[T]
	for _, flow := range queue.flows {
		if len(flow.entries) == 0 {
			continue
		}
		if best == nil || compare(flow, best) < 0 {
			best = flow
		}
	}
	return best
}

// Heads returns the first entry of each tenant in fair order.
func (queue *Queue[T]) Heads() []*Entry[T] {
	flows := make([]*flow[T], 0, len(queue.flows))
	for _, flow := range queue.flows {
		if len(flow.entries) > 0 {
			flows = append(flows, flow)
		}
	}
	slices.SortFunc(flows, compare[T])
	heads := make([]*Entry[T], 0, len(flows))
	for _, flow := range flows {
		heads = append(heads, flow.entries[0])
	}
	return heads
}

// compare orders flows by virtual start time, then by name.
func compare[T any](a, b *flow[T]) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.tenant, b.tenant))
}

// displace removes and returns the last entry of the longest flow relative to its share, or nil if the tenant
// of the new entry would then have as many entries relative to its share, or more.
func (queue *Queue[T]) displace(entry *Entry[T]) *Entry[T] {
	var longest *flow[T]
	for _, flow := range queue.flows {
		if longest == nil || longer(flow, longest) {
			longest = flow
		}
	}
	if longest == nil || longest.tenant == entry.Tenant {
		return nil
	}
	own := 0
	if flow, ok := queue.flows[entry.Tenant]; ok {
		own = len(flow.entries)
	}
	if (own+1)*longest.share >= len(longest.entries)*max(entry.Share, 1) {
		return nil
	}
	last := longest.last()
	queue.Remove(last)
	return last
}

// longer reports whether a has more entries relative to its share than b; ties go by name.
func longer[T any](a, b *flow[T]) bool {
	left, right := len(a.entries)*b.share, len(b.entries)*a.share
	if left == right {
		return a.tenant < b.tenant
	}
	return left > right
}

// prune deletes flows without entries whose start virtualTime has reached. An empty queue is reset.
func (queue *Queue[T]) prune() {
	if queue.length == 0 {
		clear(queue.flows)
		queue.virtualTime = 0
		return
	}
	for tenant, flow := range queue.flows {
		if len(flow.entries) == 0 && flow.start <= queue.virtualTime {
			delete(queue.flows, tenant)
		}
	}
}

// Cost returns the estimated tokens of all entries.
func (queue *Queue[T]) Cost() float64 {
	total := 0
	for _, flow := range queue.flows {
		total += flow.cost
	}
	return float64(total)
}
