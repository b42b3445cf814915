package queue

// Ahead returns the estimated tokens that leave the queue before a new entry of the tenant does,
// the entry itself included: its own flow at its share, but never more than the whole queue.
func (queue *Queue[T]) Ahead(entry *Entry[T]) float64 {
	own, total, shares := max(entry.Cost, 1), max(entry.Cost, 1), max(entry.Share, 1)
	for tenant, flow := range queue.flows {
		total += flow.cost
		if tenant == entry.Tenant {
			own += flow.cost
			continue
		}
		if len(flow.entries) > 0 {
			shares += flow.share
		}
	}
	fair := float64(own) * float64(shares) / float64(max(entry.Share, 1))
	return min(fair, float64(total))
}
