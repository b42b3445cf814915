package quarantine

import (
	"sync"
	"time"
)

const (
	// recordedFrom is the number of crashes from which a suspect is to be recorded where it outlives all daemons.
	recordedFrom = 2
	// doubtTime is how long after an attempt without a word of its replica the end of that replica counts against
	// the request.
	doubtTime = 10 * time.Second
	// mostDoubtful is the largest number of replicas with such attempts, and mostDoubts that of such attempts at each.
	mostDoubtful = 1024
	mostDoubts   = 256
	// mostBreaks is the largest number of replicas with breaks that are told apart for one request.
	mostBreaks = 64
)

// doubt is an attempt that ended without a word of its replica.
type doubt struct {
	fingerprint uint64
	at          time.Time
}

// Tracker counts, for one daemon, the crashes of replicas against the requests that ran there. It knows a crash by a
// connection that broke off, or by the end of a replica that had fallen silent. A request that was answered in full lately is
// excused once for each answer, so that a request which many clients send alike is not held responsible.
// It is safe for concurrent use. Use NewTracker.
type Tracker struct {
	book *Registry

	mutex sync.Mutex
	// answers counts full answers by fingerprint that no break was excused for yet.
	answers counts
	// breaks maps fingerprints to the last breaks that this daemon counted, one for each run of a replica.
	breaks map[uint64][]Crash
	// doubts maps runs of replicas to the attempts that ended there without a word.
	doubts map[Crash][]doubt
	// refused is closed and replaced when another fingerprint is refused.
	refused chan struct{}
	// unrecorded holds the suspects that are to be recorded, and pending is told of each.
	unrecorded map[uint64]Suspect
	pending    chan struct{}
}

// NewTracker returns a tracker that refuses requests of the given number of crashes.
func NewTracker(limit int) *Tracker {
	return &Tracker{
		book:       NewWithLimit(limit),
		answers:    newCounts(provenCapacity),
		breaks:     map[uint64][]Crash{},
		doubts:     map[Crash][]doubt{},
		refused:    make(chan struct{}),
		unrecorded: map[uint64]Suspect{},
		pending:    make(chan struct{}, 1),
	}
}

// Refused reports whether the request may not run, and for how long.
func (tracker *Tracker) Refused(fingerprint uint64, now time.Time) (time.Duration, bool) {
	until, refused := tracker.book.RefusedUntil(fingerprint, now)
	if !refused {
		return 0, false
	}
	return until.Sub(now), true
}

// Refusals returns a channel that is closed when another request is refused from then on.
func (tracker *Tracker) Refusals() <-chan struct{} {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.refused
}

// Answered notes an answer in full.
func (tracker *Tracker) Answered(fingerprint uint64) {
	tracker.book.Clear(fingerprint)
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.answers.add(fingerprint)
	delete(tracker.breaks, fingerprint)
}

// ConnectionLost counts a run that broke off at a run of a replica, and returns the number of crashes against the request. An
// excused one returns zero.
func (tracker *Tracker) ConnectionLost(fingerprint uint64, crash Crash, now time.Time) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.count(fingerprint, crash, now)
}

// NoResponse notes that an attempt ended without a word of the replica: it may have crashed, or be cut off, or slow.
func (tracker *Tracker) NoResponse(fingerprint uint64, crash Crash, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	doubts, known := tracker.doubts[crash]
	if !known && len(tracker.doubts) >= mostDoubtful {
		tracker.forgetDoubts(now)
	}
	if !known && len(tracker.doubts) >= mostDoubtful {
		return
	}
	if len(doubts) >= mostDoubts {
		doubts = doubts[1:]
	}
	tracker.doubts[crash] = append(doubts, doubt{fingerprint, now})
}

// ReplicaEnded notes that a run of a replica ended without notice, and returns the requests that this is counted against.
func (tracker *Tracker) ReplicaEnded(crash Crash, now time.Time) []uint64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var counted []uint64
	for _, doubt := range tracker.doubts[crash] {
		if now.Sub(doubt.at) < doubtTime && tracker.count(doubt.fingerprint, crash, now) > 0 {
			counted = append(counted, doubt.fingerprint)
		}
	}
	delete(tracker.doubts, crash)
	return counted
}

// count marks the crash, unless an answer excuses it. The mutex is held.
func (tracker *Tracker) count(fingerprint uint64, crash Crash, now time.Time) int {
	if tracker.answers.take(fingerprint) {
		return 0
	}
	marked := tracker.book.AddCrash(fingerprint, tracker.sequenced(fingerprint, crash), now)
	tracker.grown(marked)
	return len(marked.Crashes)
}

// sequenced returns the crash with its number among those that this daemon counted at the run: a replica that starts again
// is known as the former run until its row tells otherwise. The mutex is held.
func (tracker *Tracker) sequenced(fingerprint uint64, crash Crash) Crash {
	if len(tracker.breaks) >= capacity {
		clear(tracker.breaks)
	}
	own := tracker.breaks[fingerprint]
	for index := range own {
		if own[index].Upstream == crash.Upstream && own[index].BootID == crash.BootID {
			own[index].Sequence++
			return own[index]
		}
	}
	if len(own) < mostBreaks {
		tracker.breaks[fingerprint] = append(own, crash)
	}
	return crash
}

// Import merges what other daemons or the record tell, and returns the suspects that are refused since.
func (tracker *Tracker) Import(suspects []Suspect, now time.Time) []Suspect {
	grown := tracker.book.Import(suspects, now)
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var refused []Suspect
	for _, suspect := range grown {
		if _, own := tracker.breaks[suspect.Fingerprint]; own {
			tracker.grown(suspect)
		} else if tracker.book.refused(suspect) {
			tracker.tellRefused()
		}
		if tracker.book.refused(suspect) {
			refused = append(refused, suspect)
		}
	}
	return refused
}

// grown takes note of another crash of a suspect that this daemon counted itself. The mutex is held.
func (tracker *Tracker) grown(suspect Suspect) {
	if tracker.book.refused(suspect) {
		tracker.tellRefused()
	}
	if len(suspect.Crashes) < recordedFrom {
		return
	}
	tracker.unrecorded[suspect.Fingerprint] = suspect
	select {
	case tracker.pending <- struct{}{}:
	default:
	}
}

// tellRefused wakes the requests that wait. The mutex is held.
func (tracker *Tracker) tellRefused() {
	close(tracker.refused)
	tracker.refused = make(chan struct{})
}

// Share returns at most so many suspects to tell another daemon of.
func (tracker *Tracker) Share(most int, now time.Time) []Suspect {
	return tracker.book.Share(most, now)
}

// Suspect returns what is known of the request, and false if nothing is held against it.
func (tracker *Tracker) Suspect(fingerprint uint64, now time.Time) (Suspect, bool) {
	return tracker.book.Suspect(fingerprint, now)
}

// CountRefused returns the number of requests that are refused.
func (tracker *Tracker) CountRefused(now time.Time) int {
	return tracker.book.CountRefused(now)
}

// Pending returns a channel that tells of suspects to record.
func (tracker *Tracker) Pending() <-chan struct{} {
	return tracker.pending
}

// Unrecorded returns the suspects to record, each once.
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

// forgetDoubts drops the replicas without a recent attempt. The mutex is held.
func (tracker *Tracker) forgetDoubts(now time.Time) {
	for crash, doubts := range tracker.doubts {
		if now.Sub(doubts[len(doubts)-1].at) >= doubtTime {
			delete(tracker.doubts, crash)
		}
	}
}
