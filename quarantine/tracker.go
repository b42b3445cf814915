package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRecordedCrashes is the number of crashes from which a whole request is recorded in the store, which outlives
	// all daemons. Parts of prompts are recorded once they are refused, since each crash makes suspects of many.
	minRecordedCrashes = 2
	// unansweredWindow is how long after an attempt without a response the end of the replica still counts against
	// the request.
	unansweredWindow = 10 * time.Second
	// maxUnansweredReplicas bounds the replicas with such attempts, and maxUnansweredPerReplica the attempts of
	// each.
	maxUnansweredReplicas   = 1024
	maxUnansweredPerReplica = 256
	// maxOwnCrashes bounds the replicas whose crashes are numbered for one request.
	maxOwnCrashes = 64
)

// unansweredAttempt is an attempt that ended without a response from its replica.
type unansweredAttempt struct {
	causes Causes
	at     time.Time
}

// Tracker counts, for one daemon, the crashes of replicas against the requests that ran there. It detects a crash
// by a lost connection, or by the end of a replica that had stopped responding. Each recent full response to a
// request offsets one crash, so that crashes are not counted against a common request that many clients send and
// that usually succeeds; the same holds for each part of a prompt. It is safe for concurrent use. Use NewTracker.
type Tracker struct {
	registry *Registry

	mutex sync.Mutex
	// responses counts the full responses to each fingerprint that have not offset a crash yet.
	responses recentCounts
	// ownCrashes maps fingerprints to the latest crashes that this daemon counted, one for each incarnation.
	ownCrashes map[uint64][]Crash
	// partAnswers counts the recent full responses for each part that have not offset a crash yet.
	partAnswers recentCounts
	// partBreaks holds the last break of each part by each incarnation; it has at most capacity entries.
	partBreaks map[partBreak]lastBreak
	// trials maps parts to the time until which no other request with the part is tried.
	trials map[uint64]time.Time
	// turn returns how many daemons may try a part before this one.
	turn func(part uint64) int
	// breaks maps incarnations to when they broke a connection last; breakCount is its length, to be read without the mutex.
	breaks     map[Crash]time.Time
	breakCount atomic.Int64
	// unanswered maps incarnations to the attempts that ended there without a response.
	unanswered map[Crash][]unansweredAttempt
	// refused is closed and replaced when another fingerprint is refused.
	refused chan struct{}
	// unrecorded holds the suspects to record in the store. pending is signalled for each.
	unrecorded map[uint64]Suspect
	pending    chan struct{}
}

// NewTracker returns a tracker that refuses requests with the given number of crashes.
func NewTracker(limit int) *Tracker {
	return &Tracker{
		registry:   NewWithLimit(limit),
		responses:  newRecentCounts(completedCapacity),
		ownCrashes: map[uint64][]Crash{},
		unanswered: map[Crash][]unansweredAttempt{},
		breaks:     map[Crash]time.Time{},
		refused:    make(chan struct{}),
		unrecorded: map[uint64]Suspect{},
		pending:    make(chan struct{}, 1),

		partAnswers: newRecentCounts(completedCapacity),
		partBreaks:  map[partBreak]lastBreak{},
		trials:      map[uint64]time.Time{},
		turn:        func(uint64) int { return 0 },
	}
}

// Refused reports whether the request is refused, and for how long.
func (tracker *Tracker) Refused(fingerprint uint64, now time.Time) (time.Duration, bool) {
	until, refused := tracker.registry.RefusedUntil(fingerprint, now)
	if !refused {
		return 0, false
	}
	return until.Sub(now), true
}

// Refusals returns a channel that is closed when another request is refused.
func (tracker *Tracker) Refusals() <-chan struct{} {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.refused
}

// Answered records a full response to a request. trial is the part that the request was admitted to try, or zero: the
// response offsets all its crashes.
func (tracker *Tracker) Answered(causes Causes, trial uint64, now time.Time) {
	tracker.registry.Clear(causes.Request)
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.responses.increment(causes.Request)
	delete(tracker.ownCrashes, causes.Request)
	tracker.partAnswers.expire(partAnswerPeriod, now)
	for _, part := range causes.Parts {
		suspect, released := tracker.registry.Offset(part, part == trial, now)
		if len(suspect.Cleared) == 0 {
			tracker.partAnswers.increment(part)
		}
		if released {
			tracker.addUnrecorded(suspect)
		}
	}
}

// ConnectionLost counts a crash after the connection to the replica was lost during the request. It returns the
// number of crashes of the request, or zero if a response offset this one.
func (tracker *Tracker) ConnectionLost(causes Causes, crash Crash, now time.Time) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.markBreak(crash, now)
	return tracker.count(causes, crash, CrashTime{At: now}, now)
}

// NoResponse records an attempt without a response: the replica may have crashed, be disconnected or be slow.
func (tracker *Tracker) NoResponse(causes Causes, crash Crash, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	attempts, known := tracker.unanswered[crash]
	if !known && len(tracker.unanswered) >= maxUnansweredReplicas {
		tracker.removeStaleReplicas(now)
	}
	if !known && len(tracker.unanswered) >= maxUnansweredReplicas {
		return
	}
	if len(attempts) >= maxUnansweredPerReplica {
		attempts = attempts[1:]
	}
	tracker.unanswered[crash] = append(attempts, unansweredAttempt{causes, now})
}

// ReplicaEnded records that an incarnation ended without notice, and returns the requests that the crash is
// counted against.
func (tracker *Tracker) ReplicaEnded(crash Crash, now time.Time) []uint64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var counted []uint64
	for _, attempt := range tracker.unanswered[crash] {
		if now.Sub(attempt.at) < unansweredWindow && tracker.count(attempt.causes, crash, CrashTime{At: now, Silent: true}, now) > 0 {
			counted = append(counted, attempt.causes.Request)
		}
	}
	delete(tracker.unanswered, crash)
	return counted
}

// count adds the crash to the parts of the request and, unless a response offsets it, to the request. It returns the number
// of crashes of the request, or zero if a response offset this one. The mutex is held.
func (tracker *Tracker) count(causes Causes, crash Crash, seen CrashTime, now time.Time) int {
	tracker.partAnswers.expire(partAnswerPeriod, now)
	for _, part := range causes.Parts {
		tracker.countPart(part, crash, seen, now)
	}
	fingerprint := causes.Request
	if tracker.responses.decrement(fingerprint) {
		return 0
	}
	marked := tracker.registry.AddCrash(fingerprint, tracker.withSequence(fingerprint, crash), now)
	tracker.crashAdded(marked)
	return len(marked.Crashes)
}

// Import merges suspects from other daemons or from the store, and returns those that are now refused.
func (tracker *Tracker) Import(suspects []Suspect, now time.Time) []Suspect {
	changed := tracker.registry.Import(suspects, now)
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var refused []Suspect
	for _, suspect := range changed {
		_, isRefused := tracker.registry.RefusedUntil(suspect.Fingerprint, now)
		if tracker.countedHere(suspect, now) {
			tracker.crashAdded(suspect)
		} else if isRefused {
			tracker.notifyRefused()
		}
		if isRefused {
			refused = append(refused, suspect)
		}
	}
	return refused
}

// countedHere reports whether this daemon counted a crash of the suspect itself. The mutex is held.
func (tracker *Tracker) countedHere(suspect Suspect, now time.Time) bool {
	if suspect.Kind == WholeRequest {
		_, own := tracker.ownCrashes[suspect.Fingerprint]
		return own
	}
	for _, crash := range suspect.Crashes {
		crash.Sequence = 0
		if last, known := tracker.partBreaks[partBreak{suspect.Fingerprint, crash}]; known && now.Sub(last.at) < unansweredWindow {
			return true
		}
	}
	return false
}

// crashAdded handles another crash of a suspect that this daemon counted itself. The mutex is held.
func (tracker *Tracker) crashAdded(suspect Suspect) {
	refused := tracker.registry.heavy(suspect)
	if refused {
		tracker.notifyRefused()
	}
	if refused || (suspect.Kind == WholeRequest && len(suspect.Crashes) >= minRecordedCrashes) {
		tracker.addUnrecorded(suspect)
	}
}

// RecordRefused lists all refused suspects to be recorded in the store again.
func (tracker *Tracker) RecordRefused(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, suspect := range tracker.registry.Export(now) {
		if tracker.registry.heavy(suspect) {
			tracker.addUnrecorded(suspect)
		}
	}
}

// addUnrecorded lists the suspect to be recorded in the store. The mutex is held.
func (tracker *Tracker) addUnrecorded(suspect Suspect) {
	tracker.unrecorded[suspect.Fingerprint] = suspect
	select {
	case tracker.pending <- struct{}{}:
	default:
	}
}

// notifyRefused wakes the waiters on Refusals. The mutex is held.
func (tracker *Tracker) notifyRefused() {
	close(tracker.refused)
	tracker.refused = make(chan struct{})
}

// Share returns at most the given number of suspects to send to another daemon.
func (tracker *Tracker) Share(maximum int, now time.Time) []Suspect {
	return tracker.registry.Share(maximum, now)
}

// Suspect returns the suspect with the fingerprint, and false if there is none.
func (tracker *Tracker) Suspect(fingerprint uint64, now time.Time) (Suspect, bool) {
	return tracker.registry.Suspect(fingerprint, now)
}

// CountRefused returns the number of refused requests.
func (tracker *Tracker) CountRefused(now time.Time) int {
	return tracker.registry.CountRefused(now)
}

// Evicted returns the number of suspects that were dropped because there were too many.
func (tracker *Tracker) Evicted() int {
	return tracker.registry.Evicted()
}

// Pending returns a channel that receives a value when there are suspects to record.
func (tracker *Tracker) Pending() <-chan struct{} {
	return tracker.pending
}

// Unrecorded returns the suspects to record, each once per change.
func (tracker *Tracker) Unrecorded() []Suspect {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	all := make([]Suspect, 0, len(tracker.unrecorded))
	for _, suspect := range tracker.unrecorded {
		all = append(all, suspect)
	}
	clear(tracker.unrecorded)
	return all
}

// removeStaleReplicas removes the replicas without a recent unanswered attempt. The mutex is held.
func (tracker *Tracker) removeStaleReplicas(now time.Time) {
	for crash, attempts := range tracker.unanswered {
		if now.Sub(attempts[len(attempts)-1].at) >= unansweredWindow {
			delete(tracker.unanswered, crash)
		}
	}
}
