package queue

// TokensAhead returns the estimated tokens that leave the queue up to and including the entry, if it were
// added now. It assumes that the tenant is served by its share, and never exceeds the whole queue.
func (queue *Queue[T]) TokensAhead(entry *Entry[T]) float64 {
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

// FindLate returns the waiting entries for which isLate returns true. isLate receives the entry and the
// estimated tokens that leave the queue up to and including it. An entry found late no longer counts for
// those behind it in its flow.
func (queue *Queue[T]) FindLate(isLate func(entry *Entry[T], tokens float64) bool) []*Entry[T] {
	total, shares := 0, 0
	for _, flow := range queue.flows {
		total += flow.cost
		if len(flow.entries) > 0 {
			shares += flow.share
		}
	}
	var late []*Entry[T]
	for _, flow := range queue.flows {
		own := 0
		for _, entry := range flow.entries {
			own += max(entry.Cost, 1)
			fair := float64(own) * float64(shares) / float64(flow.share)
			if isLate(entry, min(fair, float64(total))) {
				late = append(late, entry)
				own -= max(entry.Cost, 1)
			}
		}
	}
	return late
}
