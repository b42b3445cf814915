package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// The time without an event after which an attempt counts as stalled, as multiples of the targets of its route.
const (
	// stallTargetsIdempotent multiplies the latency target of an idempotent request.
	stallTargetsIdempotent = 1.5
	// stallTargetsFirstEvent multiplies the latency target of a resumable stream before its first event.
	stallTargetsFirstEvent = 1.0
	// stallGaps multiplies the gap target of a resumable stream after its first event.
	stallGaps = 4
	// stallsSameReplica multiplies the stall limit: after that time, another connection to the same replica is tried.
	stallsSameReplica = 2
)

var (
	// errStalled is the cancellation cause of an attempt that stalled and has a successor.
	errStalled = errors.New("replica sent no event within the limit")
	// errOvertaken is the cancellation cause of a successor that is not needed, since the earlier attempt went on.
	errOvertaken = errors.New("the earlier attempt went on")
)

// handover seeks a successor for an attempt that stalls, and ends the attempt only once another replica has accepted the request.
// Meanwhile the attempt goes on, and if it yields anything, the successor is given up. A nil handover does nothing.
type handover struct {
	leg   *leg
	timer clock.Timer
	// limitFirst and limitGap are the times after which the attempt counts as stalled, before and after its first event.
	limitFirst, limitGap time.Duration
	// base is the progress of the transaction when the attempt began.
	base progress
	// stopped is closed, with the mutex held, when the attempt has ended: no further search begins. ended is closed when no successor
	// is sought any more.
	stopped, ended chan struct{}

	mutex sync.Mutex
	// template is the state of the transaction that successors are sought with.
	template transaction
	// progressAt is when the attempt began or yielded an event last.
	progressAt time.Time
	// endSeek ends the search that is under way; nil while none can be ended.
	endSeek context.CancelCauseFunc
	// searching is set while a successor is sought.
	searching bool
	// successor is the attempt that another replica has accepted, or nil.
	successor *leg
}

// startHandover returns the handover of an attempt that was opened, or nil if the request must not run once more, its route has
// no latency target or another daemon has it.
func (transaction *transaction) startHandover(ctx context.Context, leg *leg) *handover {
	route := transaction.route
	if leg.lent || !route.Repeatable() || transaction.runs >= transaction.maxRuns || route.LatencyTarget == 0 {
		return nil
	}
	started := &handover{
		leg:        leg,
		limitFirst: time.Duration(stallTargetsIdempotent * float64(route.LatencyTarget)),
		base:       transaction.progress,
		stopped:    make(chan struct{}),
		ended:      make(chan struct{}),
		template:   *transaction,
		progressAt: transaction.relay.deps.Clock.Now(),
	}
	if route.Kind == topology.Streaming {
		started.limitFirst = time.Duration(stallTargetsFirstEvent * float64(route.LatencyTarget))
	}
	started.limitGap = stallGaps * route.GapTarget
	started.template.sink = heldSink(transaction.sink.Begun())
	started.timer = transaction.relay.deps.Clock.NewTimer(started.limitFirst)
	go started.run(ctx)
	return started
}

// advance records that the attempt of the transaction has yielded an event. A successor that is sought is not needed.
func (handover *handover) advance(transaction *transaction) {
	if handover == nil {
		return
	}
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.progressAt = transaction.relay.deps.Clock.Now()
	handover.template.sink = heldSink(transaction.sink.Begun())
	handover.template.reached, handover.template.release = transaction.reached, transaction.release
	handover.overtake()
}

// finish ends the handover of an attempt with the result, and returns the successor that goes on with the request, or nil. While
// one is sought, it waits for that, unless the request is answered.
func (handover *handover) finish(transaction *transaction, result result) *leg {
	if handover == nil {
		return nil
	}
	unwanted := result.done || result.failure.Kind == outcome.CallerGone
	if handover.close(unwanted) {
		handover.awaitSearch(transaction)
	}
	handover.timer.Stop()
	successor := handover.successor
	if successor != nil && (unwanted || !transaction.mayFollow(successor)) {
		successor.discard()
		handover.template.progress = successor.transaction.progress
		successor = nil
	}
	transaction.adopt(handover.base, handover.template.progress)
	if successor != nil {
		sought := successor.transaction
		transaction.permit, transaction.criteria, transaction.summary = sought.permit, sought.criteria, sought.summary
	}
	return successor
}

// awaitSearch waits for the search that is under way, for no longer than a stream that broke off waits for a replica.
func (handover *handover) awaitSearch(transaction *transaction) {
	timer := transaction.relay.deps.Clock.NewTimer(transaction.resumeWait())
	defer timer.Stop()
	select {
	case <-handover.ended:
		return
	case <-timer.C():
	}
	handover.mutex.Lock()
	handover.overtake()
	handover.mutex.Unlock()
	<-handover.ended
}

// close ends the handover, and also the search that is under way if it is unwanted. It reports whether there was a search.
func (handover *handover) close(unwanted bool) bool {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	close(handover.stopped)
	if unwanted {
		handover.overtake()
	}
	return handover.searching
}

// overtake ends the search that is under way, if it can be ended. The mutex is held.
func (handover *handover) overtake() {
	if handover.endSeek != nil {
		handover.endSeek(errOvertaken)
	}
}

// mayFollow reports whether what the successor responds may follow what the client has.
func (transaction *transaction) mayFollow(successor *leg) bool {
	return transaction.maySendOn() && (!transaction.sink.Begun() || transaction.release == successor.candidate.Release)
}

// run seeks successors whenever the attempt has stalled, until one is accepted, none is allowed or the attempt ends.
func (handover *handover) run(ctx context.Context) {
	defer close(handover.ended)
	delay := busyRetryDelay
	for {
		select {
		case <-handover.timer.C():
		case <-handover.stopped:
			return
		}
		if left := handover.untilStalled(); left > 0 {
			delay = busyRetryDelay
			handover.timer.Reset(left)
			continue
		}
		if handover.seek(ctx) {
			return
		}
		handover.timer.Reset(delay)
		delay = min(2*delay, longestRetryDelay)
	}
}

// untilStalled returns the time after which the attempt counts as stalled if it yields nothing.
func (handover *handover) untilStalled() time.Duration {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	return handover.limit() - handover.silence()
}

// limit returns the time after which the attempt counts as stalled. The mutex is held.
func (handover *handover) limit() time.Duration {
	if handover.template.sink.Begun() && handover.limitGap > 0 {
		return handover.limitGap
	}
	return handover.limitFirst
}

// silence returns the time since the attempt yielded something. The mutex is held.
func (handover *handover) silence() time.Duration {
	return handover.template.relay.deps.Clock.Since(handover.progressAt)
}

// silentFor returns the time since the attempt yielded something.
func (handover *handover) silentFor() time.Duration {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	return handover.silence()
}

// seek seeks a successor once. It reports whether the search is over: a replica has accepted the request, which ends the attempt, or
// none may.
func (handover *handover) seek(ctx context.Context) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	seeker, mayRepeat := handover.startSeek(cancel)
	if seeker == nil || !seeker.maySeek() {
		cancel(nil)
		handover.endSearch(seeker, nil)
		return true
	}
	successor := handover.find(ctx, cancel, seeker, mayRepeat)
	if !handover.endSearch(seeker, successor) {
		cancel(nil)
		return false
	}
	event.AttemptReplaced.Log("Request", seeker.request.Metadata.ID, "Replica", handover.leg.candidate.ID,
		"Successor", successor.candidate.ID, "LastEvent", seeker.reached.last, "Silent", handover.silentFor(), "Responded", successor.responded())
	handover.leg.cancel(errStalled)
	return true
}

// find returns the attempt of the seeker that another replica has accepted, or another daemon if this one does not reach the replica
// of the current attempt; nil if none has.
func (handover *handover) find(ctx context.Context, cancel context.CancelCauseFunc, seeker *transaction, mayRepeat bool) *leg {
	current := handover.leg.candidate
	if seeker.lends() && seeker.isPathLost(current) {
		if successor := seeker.seekLent(ctx, cancel); successor != nil || !seeker.lendFailed {
			return successor
		}
	}
	return seeker.seek(ctx, cancel, current.Incarnation, mayRepeat)
}

// startSeek returns a copy of the transaction that seeks a successor until cancel is called, and whether it may be the replica of
// the attempt itself. It returns nil if the attempt has ended.
func (handover *handover) startSeek(cancel context.CancelCauseFunc) (*transaction, bool) {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	select {
	case <-handover.stopped:
		return nil, false
	default:
	}
	handover.endSeek, handover.searching = cancel, true
	seeker := handover.template
	seeker.tried = append(slices.Clone(seeker.tried), handover.leg.candidate.Incarnation)
	return &seeker, handover.silence() >= stallsSameReplica*handover.limit()
}

// endSearch keeps what the seeker has come to. It reports whether there is a successor; one that was overtaken is discarded.
func (handover *handover) endSearch(seeker *transaction, successor *leg) bool {
	if seeker == nil {
		return false
	}
	accepted := handover.settle(successor)
	if successor != nil && !accepted {
		successor.discard()
	}
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.searching = false
	handover.template.progress = seeker.progress
	if accepted {
		handover.successor = successor
	}
	return accepted
}

// settle decides whether the successor goes on with the request: from now on, nothing overtakes it.
func (handover *handover) settle(successor *leg) bool {
	handover.mutex.Lock()
	defer handover.mutex.Unlock()
	handover.endSeek = nil
	return successor != nil && successor.ctx.Err() == nil
}
