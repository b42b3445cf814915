package pace

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Starts finds replicas that start. The zero value knows none. It is not safe for concurrent use.
type Starts struct {
	// known holds the replicas that were listed last; nil before the first list.
	known map[topology.Incarnation]bool
}

// Observe begins the windows of replicas that are cold, or were not listed before. In the first list that has any, no replica counts as
// new. Its cost is that of one look-up for each replica while none starts or ends.
func (starts *Starts) Observe(estimator *Estimator, replicas []topology.Replica, now time.Time) {
	if starts.known == nil && len(replicas) == 0 {
		return
	}
	first := starts.known == nil
	if first {
		starts.known = make(map[topology.Incarnation]bool, len(replicas))
	}
	for index := range replicas {
		replica := &replicas[index]
		if starts.known[replica.Incarnation] {
			continue
		}
		starts.known[replica.Incarnation] = true
		switch {
		case replica.IsCold(now):
			estimator.Begin(replica.Incarnation, replica.Service, replica.Slots, Cold, now)
		case !first:
			estimator.Begin(replica.Incarnation, replica.Service, replica.Slots, New, now)
		}
	}
	if len(starts.known) > len(replicas) {
		starts.forget(replicas)
	}
}

// forget drops the replicas that are not listed.
func (starts *Starts) forget(replicas []topology.Replica) {
	clear(starts.known)
	for index := range replicas {
		starts.known[replicas[index].Incarnation] = true
	}
}
