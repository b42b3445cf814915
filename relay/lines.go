package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzestall/bronzestall/admission"
	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// lineTTL is how long the admission queue of a model is kept after its last use, with what it measured.
const lineTTL = 15 * time.Second

// refusalLogInterval is the shortest time between two log lines about refusals for one model.
const refusalLogInterval = 5 * time.Second

// lines holds the admission queues of one daemon by service and model. A queue exists only while requests of its model wait for
// capacity, or did lately. It is safe for concurrent use. Use newLines.
type lines struct {
	// kept is the number of queues, and waiting that of all waiting requests, so that requests take no lock without a shortage.
	kept, waiting atomic.Int64
	// waits is the number of waits that ended, and waited their sum as a time.Duration.
	waits, waited atomic.Int64

	mutex    sync.Mutex
	queues   map[demand.Key]*line
	refusals *admission.Refusals
	// refused counts the refusals by cause.
	refused map[RefusalCause]int
}

// line is the admission queue of one model.
type line struct {
	queue *admission.Queue
	// replicas lists those that the request which tried last could have been sent to.
	replicas []topology.Incarnation
	// poller is the waiting request that offers the turn at intervals, since not all that makes room is reported; nil if there is none.
	poller *admission.Entry
	// refused is the number of refusals that were not logged, and logged when the last ones were.
	refused int
	logged  time.Time
}

func newLine(now time.Time) *line {
	return &line{queue: admission.New(now)}
}

func newLines() *lines {
	return &lines{queues: map[demand.Key]*line{}, refusals: admission.NewRefusals(), refused: map[RefusalCause]int{}}
}

// blocks reports whether a request that arrives now must wait for others of its model.
func (lines *lines) blocks(key demand.Key, priority int, returned bool) bool {
	if lines.waiting.Load() == 0 {
		return false
	}
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	known, ok := lines.queues[key]
	return ok && known.queue.Blocks(priority, returned)
}

// standing returns how requests of the priority for the model are served compared with more urgent ones.
func (lines *lines) standing(key demand.Key, priority int, now time.Time) admission.Standing {
	if lines.kept.Load() == 0 {
		return admission.Unrivalled
	}
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	known, ok := lines.queues[key]
	switch {
	case !ok:
		return admission.Unrivalled
	case known.queue.MoreUrgent(priority):
		return max(known.queue.Standing(priority, now), admission.Behind)
	default:
		return known.queue.Standing(priority, now)
	}
}

// short reports whether requests for the model wait.
func (lines *lines) short(key demand.Key) bool {
	if lines.waiting.Load() == 0 {
		return false
	}
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	known, ok := lines.queues[key]
	return ok && known.queue.Len() > 0
}

// remember remembers the refusal of the request with the fingerprint.
func (lines *lines) remember(fingerprint uint64, now time.Time) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	lines.refusals.Add(fingerprint, now)
}

// returned reports whether the request with the fingerprint was refused for want of capacity lately.
func (lines *lines) returned(fingerprint uint64, now time.Time) bool {
	if lines.kept.Load() == 0 {
		return false
	}
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return lines.refusals.Returned(fingerprint, now)
}

// forecast returns the expected wait of the entry, which may be waiting.
func (lines *lines) forecast(key demand.Key, entry *admission.Entry, now time.Time) admission.Forecast {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return lines.line(key, now).queue.Forecast(entry, now)
}

// join adds the entry to the queue of the model.
func (lines *lines) join(key demand.Key, entry *admission.Entry, now time.Time) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	line := lines.line(key, now)
	line.queue.Push(entry, now)
	lines.waiting.Add(1)
	if line.poller == nil {
		line.poller = entry
	}
}

// hasTurn reports whether the waiting entry may try to find a replica.
func (lines *lines) hasTurn(key demand.Key, entry *admission.Entry, now time.Time) bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	known, ok := lines.queues[key]
	return ok && known.queue.HasTurn(entry, now)
}

// pass passes the turn of the entry on, if it has it: none of the candidates has capacity for it. It reports whether the entry must
// offer the turn at intervals.
func (lines *lines) pass(key demand.Key, entry *admission.Entry, candidates []balance.Candidate, now time.Time) bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	line := lines.line(key, now)
	if line.queue.HasTurn(entry, now) || line.replicas == nil {
		line.replicas = line.replicas[:0]
		for index := range candidates {
			line.replicas = append(line.replicas, candidates[index].Incarnation)
		}
		line.queue.Pass(entry, now)
		if line.poller == nil {
			line.poller = entry
		}
	}
	return line.poller == entry
}

// offer gives the turn to the first request of the model.
func (lines *lines) offer(key demand.Key, now time.Time) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	if known, ok := lines.queues[key]; ok {
		known.queue.Offer(now)
	}
}

// offerReplica gives the turn to the first request of each model for which the replica may have capacity now.
func (lines *lines) offerReplica(replica topology.Incarnation, now time.Time) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	for _, line := range lines.queues {
		if line.queue.Len() > 0 && slices.Contains(line.replicas, replica) {
			line.queue.Offer(now)
		}
	}
}

// offerAll gives the turn to the first request of each model.
func (lines *lines) offerAll(now time.Time) {
	if lines.waiting.Load() == 0 {
		return
	}
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	for _, line := range lines.queues {
		line.queue.Offer(now)
	}
}

// start records that a request of the priority found a replica. The entry is nil if it did not wait.
func (lines *lines) start(key demand.Key, entry *admission.Entry, priority int, now time.Time) {
	if lines.kept.Load() == 0 {
		return
	}
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	line, ok := lines.queues[key]
	switch {
	case !ok:
	case entry == nil:
		line.queue.CountStart(priority, now)
	default:
		line.queue.Start(entry, now)
		lines.left(line, entry, now)
	}
}

// refuse records that a request of the priority is refused for want of capacity. It returns the number of refusals that are to be
// logged now, or zero, and that of the waiting requests.
func (lines *lines) refuse(key demand.Key, priority int, cause RefusalCause, now time.Time) (refused, waiting int) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	line := lines.line(key, now)
	line.queue.CountRefusal(priority, now)
	lines.refused[cause]++
	line.refused++
	if now.Sub(line.logged) < refusalLogInterval {
		return 0, 0
	}
	refused, line.refused, line.logged = line.refused, 0, now
	return refused, line.queue.Len()
}

// leave removes the entry, which waits no longer.
func (lines *lines) leave(key demand.Key, entry *admission.Entry, now time.Time) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	if line, ok := lines.queues[key]; ok {
		line.queue.Remove(entry, now)
		lines.left(line, entry, now)
	}
}

// left updates what depends on an entry that has left the queue. The mutex must be held.
func (lines *lines) left(line *line, entry *admission.Entry, now time.Time) {
	lines.waiting.Add(-1)
	if line.poller == entry {
		line.poller = nil
		line.queue.Offer(now)
	}
}

// line returns the queue of the model, and adds it if there is none. The mutex must be held.
func (lines *lines) line(key demand.Key, now time.Time) *line {
	known, ok := lines.queues[key]
	if ok {
		return known
	}
	known = newLine(now)
	lines.queues[key] = known
	lines.kept.Store(int64(len(lines.queues)))
	return known
}

// prune drops the queues that were not used for lineTTL. The mutex must be held.
func (lines *lines) prune(now time.Time) {
	for key, line := range lines.queues {
		if line.queue.IsIdle(lineTTL, now) {
			delete(lines.queues, key)
		}
	}
	lines.kept.Store(int64(len(lines.queues)))
}
