package quarantine

import (
	"sync"
	"time"
)

const (
	// minRecordedCrashes is the number of crashes from which a suspect is recorded in the store, which outlives
	// all daemons.
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
	fingerprint uint64
	at          time.Time
}

// Tracker counts, for one daemon, the crashes of replicas against the requests that ran there. It detects a crash
// by a lost connection, or by the end of a replica that had stopped responding. Each recent full response to a
// request offsets one crash, so that crashes are not counted against a common request that many clients send and
// that usually succeeds. It is safe for concurrent use. Use NewTracker.
type Tracker struct {
	registry *Registry

	mutex sync.Mutex
	// responses counts the full responses to each fingerprint that have not offset a crash yet.
	responses recentCounts
	// ownCrashes maps fingerprints to the latest crashes that this daemon counted, one for each incarnation.
	ownCrashes map[uint64][]Crash
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
		refused:    make(chan struct{}),
		unrecorded: map[uint64]Suspect{},
		pending:    make(chan struct{}, 1),
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

// Answered records a full response.
func (tracker *Tracker) Answered(fingerprint uint64) {
	tracker.registry.Clear(fingerprint)
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.responses.increment(fingerprint)
	delete(tracker.ownCrashes, fingerprint)
}

// ConnectionLost counts a crash after the connection to the replica was lost during the request. It returns the
// number of crashes of the request, or zero if a response offset this one.
func (tracker *Tracker) ConnectionLost(fingerprint uint64, crash Crash, now time.Time) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.count(fingerprint, crash, now)
}

// NoResponse records an attempt without a response: the replica may have crashed, be disconnected or be slow.
func (tracker *Tracker) NoResponse(fingerprint uint64, crash Crash, now time.Time) {
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
	tracker.unanswered[crash] = append(attempts, unansweredAttempt{fingerprint, now})
}

// ReplicaEnded records that an incarnation ended without notice, and returns the requests that the crash is
// counted against.
func (tracker *Tracker) ReplicaEnded(crash Crash, now time.Time) []uint64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var counted []uint64
	for _, attempt := range tracker.unanswered[crash] {
		if now.Sub(attempt.at) < unansweredWindow && tracker.count(attempt.fingerprint, crash, now) > 0 {
			counted = append(counted, attempt.fingerprint)
		}
	}
	delete(tracker.unanswered, crash)
	return counted
}

// count adds the crash unless a response offsets it. The mutex is held.
func (tracker *Tracker) count(fingerprint uint64, crash Crash, now time.Time) int {
	if tracker.responses.decrement(fingerprint) {
		return 0
	}
	marked := tracker.registry.AddCrash(fingerprint, tracker.withSequence(fingerprint, crash), now)
	tracker.crashAdded(marked)
	return len(marked.Crashes)
}

// withSequence returns the crash with its sequence number among those that this daemon counted for the same
// incarnation. A restarted replica counts as its former incarnation until its new row arrives. The mutex is held.
func (tracker *Tracker) withSequence(fingerprint uint64, crash Crash) Crash {
	if len(tracker.ownCrashes) >= capacity {
		clear(tracker.ownCrashes)
	}
	own := tracker.ownCrashes[fingerprint]
	for index := range own {
		if own[index].Upstream == crash.Upstream && own[index].BootID == crash.BootID {
			own[index].Sequence++
			return own[index]
		}
	}
	if len(own) < maxOwnCrashes {
		tracker.ownCrashes[fingerprint] = append(own, crash)
	}
	return crash
}

// Import merges suspects from other daemons or from the store, and returns those that are now refused.
func (tracker *Tracker) Import(suspects []Suspect, now time.Time) []Suspect {
	changed := tracker.registry.Import(suspects, now)
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var refused []Suspect
	for _, suspect := range changed {
		if _, own := tracker.ownCrashes[suspect.Fingerprint]; own {
			tracker.crashAdded(suspect)
		} else if tracker.registry.refused(suspect) {
			tracker.notifyRefused()
		}
		if tracker.registry.refused(suspect) {
			refused = append(refused, suspect)
		}
	}
	return refused
}

// crashAdded handles another crash of a suspect that this daemon counted itself. The mutex is held.
func (tracker *Tracker) crashAdded(suspect Suspect) {
	if tracker.registry.refused(suspect) {
		tracker.notifyRefused()
	}
	if len(suspect.Crashes) < minRecordedCrashes {
		return
	}
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
