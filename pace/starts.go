package pace

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// BeginStarts begins the windows of replicas that are cold, or not among the known ones. It returns the replicas listed, which are the
// known ones of the next call. Before the first list, known is nil: then no replica counts as new.
func BeginStarts(estimator *Estimator, replicas []topology.Replica, known map[topology.Incarnation]bool, now time.Time) map[topology.Incarnation]bool {
	if known == nil && len(replicas) == 0 {
		return nil
	}
	listed := make(map[topology.Incarnation]bool, len(replicas))
	for index := range replicas {
		replica := &replicas[index]
		listed[replica.Incarnation] = true
		if known[replica.Incarnation] {
			continue
		}
		switch {
		case replica.IsCold(now):
			estimator.Begin(replica.Incarnation, replica.Service, replica.Slots, Cold, now)
		case known != nil:
			estimator.Begin(replica.Incarnation, replica.Service, replica.Slots, New, now)
		}
	}
	return listed
}
