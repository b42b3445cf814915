package quarantine

import "time"

// The times at which a request with a refused part is sent to see whether the part still crashes replicas.
const (
	// trialDelay is the time from the last crash to the first trial of a part with as many occasions as the limit. It is
	// multiplied by trialFactor for each one more, so that a part that crashes replicas in trials is soon not tried
	// again before it expires.
	trialDelay  = 8 * time.Second
	trialFactor = 4
	// ambiguousTrialDelay is the same for a part that another suspect accompanied at all its crashes. Such a trial ends
	// the refusal of one of the two.
	ambiguousTrialDelay = 1500 * time.Millisecond
	// trialTurn is the time after which the next daemon may make a trial if the one before it has not: it may have no
	// request with the part.
	trialTurn = 3 * time.Second
	// trialTerm is the longest time that a trial excludes others at its daemon, and trialPause the time from the end of a
	// trial without a result to the next.
	trialTerm  = 20 * time.Second
	trialPause = 2 * time.Second
)

// TrialDue returns when the first daemon may try a request with the refused suspect; zero if it is not tried before the
// suspect expires. Whole requests are never tried.
func (registry *Registry) TrialDue(fingerprint uint64) time.Time {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	suspect, ok := registry.suspects[fingerprint]
	if !ok || suspect.Kind != PromptPart {
		return time.Time{}
	}
	delay := trialDelay
	if registry.ambiguous(&suspect) {
		delay = ambiguousTrialDelay
	} else {
		for range registry.weight(PromptPart, suspect.Crashes) - registry.limit {
			delay *= trialFactor
			if delay > Retention {
				return time.Time{}
			}
		}
	}
	return suspect.grown.Add(delay)
}

// Admission is the decision on one request.
type Admission struct {
	// Refused states that the request must not be sent, because of Cause.
	Refused bool
	Cause   Cause
	// RetryAfter is the time after which the request may come again; set if Refused is.
	RetryAfter time.Duration
	// Trial is the refused part that the request was admitted to try; zero if there is none. The caller must end the
	// trial with EndTrial.
	Trial uint64
}

// Admit decides whether a request may be sent. trial is the Trial of an earlier admission of the same request, or zero. A
// request with one refused part may be admitted as a trial: at one daemon at a time, and only one request there.
func (tracker *Tracker) Admit(causes Causes, trial uint64, now time.Time) Admission {
	if tracker.registry.counts.refused.Load() == 0 {
		return Admission{Trial: trial}
	}
	var refusals []Cause
	causes.each(func(cause Cause) {
		if _, refused := tracker.registry.RefusedUntil(cause.Fingerprint, now); refused && cause.Fingerprint != trial {
			refusals = append(refusals, cause)
		}
	})
	if len(refusals) == 0 {
		return Admission{Trial: trial}
	}
	first := refusals[0]
	if len(refusals) == 1 && trial == 0 && tracker.startTrial(first.Fingerprint, now) {
		return Admission{Trial: first.Fingerprint}
	}
	return Admission{Refused: true, Cause: first, RetryAfter: tracker.refusalTime(first, now), Trial: trial}
}

// refusalTime returns how long requests with the refused cause are refused at least.
func (tracker *Tracker) refusalTime(cause Cause, now time.Time) time.Duration {
	until, _ := tracker.registry.RefusedUntil(cause.Fingerprint, now)
	if due := tracker.registry.TrialDue(cause.Fingerprint); !due.IsZero() && due.Before(until) {
		return max(due.Sub(now), trialTurn)
	}
	return until.Sub(now)
}

// startTrial reserves the trial of a part, and reports whether this daemon may try it now.
func (tracker *Tracker) startTrial(part uint64, now time.Time) bool {
	due := tracker.registry.TrialDue(part)
	if due.IsZero() || now.Before(due.Add(time.Duration(tracker.turn(part))*trialTurn)) {
		return false
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if until, running := tracker.trials[part]; running && now.Before(until) {
		return false
	}
	for other, until := range tracker.trials {
		if !now.Before(until) {
			delete(tracker.trials, other)
		}
	}
	tracker.trials[part] = now.Add(trialTerm)
	return true
}

// EndTrial ends the trial of a part after the request has ended. Zero stands for no trial.
func (tracker *Tracker) EndTrial(part uint64, now time.Time) {
	if part == 0 {
		return
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.trials[part] = now.Add(trialPause)
}

// SetTurns sets the function that returns how many daemons may try a part before this one.
func (tracker *Tracker) SetTurns(turn func(part uint64) int) {
	tracker.turn = turn
}
