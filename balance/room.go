package balance

// InFlight returns the numbers of requests known to be in flight at the candidates, in their order.
func (balancer *Balancer) InFlight(candidates []Candidate) []int {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	inFlight := make([]int, len(candidates))
	for index := range candidates {
		if known, ok := balancer.loads[candidates[index].Incarnation]; ok {
			inFlight[index] = known.inFlight()
		}
	}
	return inFlight
}
