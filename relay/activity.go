package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/topology"
)

// activity knows which replicas have attempts of this daemon, and when any of these yielded an event last. It is safe for concurrent
// use. Use newActivity.
type activity struct {
	clock clock.PassiveClock
	// created is the time from which yielded counts.
	created time.Time

	mutex sync.Mutex
	// replicas holds those with at least one attempt.
	replicas map[topology.Incarnation]*replicaActivity
}

// replicaActivity is the activity of one replica.
type replicaActivity struct {
	// attempts is the number of its attempts, at least one. The mutex of the activity guards it.
	attempts int
	// yielded is when any of them yielded an event last, or the first of them began, as a time.Duration.
	yielded atomic.Int64
}

func newActivity(clk clock.PassiveClock) *activity {
	return &activity{clock: clk, created: clk.Now(), replicas: map[topology.Incarnation]*replicaActivity{}}
}

// begin records the start of an attempt at the replica. The result is for event and end.
func (activity *activity) begin(replica topology.Incarnation) *replicaActivity {
	activity.mutex.Lock()
	defer activity.mutex.Unlock()
	known, ok := activity.replicas[replica]
	if !ok {
		known = &replicaActivity{}
		activity.replicas[replica] = known
		activity.event(known)
	}
	known.attempts++
	return known
}

// event records an event of an attempt, and returns the time since the activity was created.
func (activity *activity) event(known *replicaActivity) time.Duration {
	now := activity.clock.Since(activity.created)
	known.yielded.Store(int64(now))
	return now
}

// end records the end of an attempt.
func (activity *activity) end(replica topology.Incarnation, known *replicaActivity) {
	activity.mutex.Lock()
	defer activity.mutex.Unlock()
	known.attempts--
	if known.attempts == 0 {
		delete(activity.replicas, replica)
	}
}

// has reports whether the replica has attempts.
func (activity *activity) has(replica topology.Incarnation) bool {
	activity.mutex.Lock()
	defer activity.mutex.Unlock()
	_, ok := activity.replicas[replica]
	return ok
}

// silent returns the replicas with attempts none of which yielded an event for longer than the limit.
func (activity *activity) silent(limit time.Duration) []topology.Incarnation {
	activity.mutex.Lock()
	defer activity.mutex.Unlock()
	now := activity.clock.Since(activity.created)
	var silent []topology.Incarnation
	for replica, known := range activity.replicas {
		if now-time.Duration(known.yielded.Load()) > limit {
			silent = append(silent, replica)
		}
	}
	return silent
}
