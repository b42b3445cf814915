package reach

import (
	"slices"
	"time"
)

// path is what is known of the path to one replica. All but proved, vouched and the times of probes is about the time since the
// last proof, and is cleared by the next one.
type path struct {
	// proved is when a byte of a response came last; zero if none did.
	proved time.Time
	// awaited lists when the attempts began that have yielded nothing yet.
	awaited []time.Time
	// usual is the longest time that attempts took until the first byte lately.
	usual time.Duration
	// suspected is since when the path is suspected, and suspectedBegun when the attempt began that made it so; both are zero if it
	// is not.
	suspected, suspectedBegun time.Time
	// failure is the kind of the last failure, and failedSince when the first attempt began that failed; zero if none did.
	failure     Failure
	failedSince time.Time
	// weak is when an attempt failed first in a way that shows a loss only if attempts do so again: by a reset or a late timeout; zero
	// if none did.
	weak time.Time
	// lost is when the path was last found lost, and lostBegun when the attempt began that showed it first; both are zero if it is not.
	lost, lostBegun time.Time
	// vouched is the latest time at which another daemon had an answer of the replica.
	vouched time.Time
	// probeBegun is when the probe began that is under way; zero if none is.
	probeBegun time.Time
	// probeTimeout is the time after which the last probe ended, or ends, without an answer.
	probeTimeout time.Duration
	// nextProbe is the earliest time of the next probe, and probeDelay the time between the last two.
	nextProbe  time.Time
	probeDelay time.Duration
	// nextQuestion is the earliest time at which other daemons are asked about the replica.
	nextQuestion time.Time
}

// state returns the state of the path at the time.
func (path *path) state(now time.Time) State {
	switch {
	case path.isLost(now) && path.failure.swallows():
		return Dead
	case path.isLost(now):
		return Closed
	case path.suspected.IsZero():
		return Sound
	case now.Sub(path.suspected) < longestPause:
		return Suspected
	}
	return Absent
}

// isLost reports whether the path was found lost, lately.
func (path *path) isLost(now time.Time) bool {
	return !path.lost.IsZero() && now.Sub(path.lost) < lossExpiry
}

// isDoubted reports whether the path was suspected or found lost and not proved since.
func (path *path) isDoubted() bool {
	return !path.suspected.IsZero() || !path.lost.IsZero()
}

// prove clears what speaks against the path.
func (path *path) prove(now time.Time) {
	*path = path.proof(now)
}

// proof returns the path after a proof. The probe that is under way stays known.
func (path *path) proof(now time.Time) (proved path) {
	proved.proved, proved.vouched = now, path.vouched
	proved.usual = path.usual
	if len(path.awaited) > 0 {
		took := now.Sub(path.awaited[0])
		proved.usual = max(took, path.usual-path.usual/usualDecay)
	}
	proved.awaited = path.awaited[:0]
	proved.probeBegun, proved.probeTimeout = path.probeBegun, path.probeTimeout
	proved.nextProbe = path.nextProbe
	return proved
}

// suspect makes the path suspected by an attempt that began at the time.
func (path *path) suspect(begun, now time.Time) {
	if path.suspected.IsZero() {
		path.suspected, path.suspectedBegun = now, begun
	}
}

// lose records that an attempt that began at the time showed that the path is lost.
func (path *path) lose(begun, now time.Time) {
	if !path.isLost(now) {
		path.lostBegun = begun
	}
	path.lost = now
}

// fail records a failure, and reports whether it shows that the path is lost.
func (path *path) fail(failure Failure, begun, now time.Time) bool {
	path.failure = failure
	if path.failedSince.IsZero() {
		path.failedSince = begun
	}
	switch failure {
	case Reset, LateTimeout:
		path.suspect(begun, now)
		if path.weak.IsZero() {
			path.weak = now
		}
		return now.Sub(path.weak) >= weakSpan
	case Silent:
		path.suspect(begun, now)
		return !path.lost.IsZero()
	}
	return true
}

// suspectAfter returns the time without any byte of the replica after which an attempt makes the path suspected.
func (path *path) suspectAfter() time.Duration {
	return min(max(minSuspectAfter, path.usual+path.usual/2), maxSuspectAfter)
}

// endAttempt forgets one attempt that began at the time, and suspects the path if it had yielded nothing for long.
func (path *path) endAttempt(begun, now time.Time) {
	at := slices.Index(path.awaited, begun)
	if at < 0 {
		return
	}
	path.awaited = slices.Delete(path.awaited, at, at+1)
	if now.Sub(begun) >= path.suspectAfter() {
		path.suspect(begun, now)
	}
}

// observeSilence suspects the path if an attempt has yielded nothing for long.
func (path *path) observeSilence(now time.Time) {
	for _, begun := range path.awaited {
		if now.Sub(begun) >= path.suspectAfter() {
			path.suspect(begun, now)
			return
		}
	}
}

// isCut reports whether the probe that is under way yields nothing, although another daemon had an answer of the replica since.
func (path *path) isCut(now time.Time) bool {
	return !path.probeBegun.IsZero() && path.lost.IsZero() && path.probeBegun.After(path.proved) &&
		path.vouched.Sub(path.probeBegun) >= answerTime && now.Sub(path.vouched) >= graceTime
}
