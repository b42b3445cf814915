package quarantine

import "time"

// The times of counting crashes against parts of prompts.
const (
	// sameCrashSpan is the time in which all connections that one incarnation breaks count as one crash against a part of
	// prompts, which many requests in flight may share.
	sameCrashSpan = time.Second
	// partAnswerPeriod is the time for which a full response at least offsets a later crash of the same part. The part may
	// become harmful at any time, so that old responses say little.
	partAnswerPeriod = 1500 * time.Millisecond
)

// partBreak identifies what an incarnation of a replica broke: requests with one part of prompts.
type partBreak struct {
	part  uint64
	crash Crash
}

// lastBreak is the last break of an incarnation.
type lastBreak struct {
	at time.Time
	// sequence numbers the crashes of the incarnation.
	sequence int
}

// countPart adds the crash to the part, unless a response offsets it or another request with the part was in flight during
// the same crash. The mutex is held.
func (tracker *Tracker) countPart(part uint64, crash Crash, seen CrashTime, now time.Time) {
	key := partBreak{part, crash}
	last, known := tracker.partBreaks[key]
	if known && now.Sub(last.at) < sameCrashSpan {
		return
	}
	if known {
		last.sequence++
	}
	tracker.removeOldBreaks(now)
	tracker.partBreaks[key] = lastBreak{now, last.sequence}
	if tracker.partAnswers.decrement(part) {
		return
	}
	crash.Sequence = last.sequence
	tracker.crashAdded(tracker.registry.Add(Cause{PromptPart, part}, crash, seen, now))
}

// removeOldBreaks makes room in partBreaks: it removes the breaks that have no effect on later ones, or all. The mutex is
// held.
func (tracker *Tracker) removeOldBreaks(now time.Time) {
	if len(tracker.partBreaks) < capacity {
		return
	}
	for key, last := range tracker.partBreaks {
		if now.Sub(last.at) >= unansweredWindow {
			delete(tracker.partBreaks, key)
		}
	}
	if len(tracker.partBreaks) >= capacity {
		clear(tracker.partBreaks)
	}
}
