package relay

import "github.com/bronzestall/bronzestall/topology"

// setPaceCriteria sets the criteria by which a replica is chosen for its pace.
func (transaction *transaction) setPaceCriteria() {
	criteria, route := &transaction.criteria, transaction.route
	criteria.Service = transaction.service.Name
	criteria.Unhurried = route.LatencyTarget >= relaxedTarget
	criteria.AtMostOnce = !route.Repeatable()
	if route.Kind != topology.Streaming {
		return
	}
	criteria.GapTarget = route.GapTarget
	criteria.OutputTokens = transaction.request.Metadata.OutputTokens
	elapsed := transaction.relay.deps.Clock.Since(transaction.request.Arrived)
	criteria.LateAnyway = route.LatencyTarget > 0 && elapsed > route.LatencyTarget && !transaction.sink.Begun()
}
