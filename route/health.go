package route

import "time"

// The limits of ejection.
const (
	// ejectAfter is the number of failures in a row that eject an upstream.
	ejectAfter = 3
	// firstEjection is the time before the first probe of an ejected upstream.
	firstEjection = time.Second
	// longestEjection bounds the time between two probes.
	longestEjection = 30 * time.Second
)

// health is the ejection state of one upstream. Its zero value is healthy.
type health struct {
	// failures counts the failures in a row.
	failures int
	// blamed is the fingerprint of the request of the last failure that may be its fault.
	blamed uint64
	// ejected states that the upstream gets no requests until a probe succeeds.
	ejected bool
	// trial states that a probe succeeded and one request at a time may follow.
	trial bool
	// probeAt is the time of the next probe while ejected.
	probeAt time.Time
	// pause is the time between the last ejection or failed probe and probeAt.
	pause time.Duration
}

// fail counts a failure and ejects the upstream if it is one too many.
func (health *health) fail(now time.Time) {
	health.failures++
	if health.trial || health.failures >= ejectAfter {
		health.out(now)
	}
}

// out ejects the upstream unless it is out already: the failures of one batch count once.
func (health *health) out(now time.Time) {
	if !health.ejected {
		health.eject(now)
	}
}

// eject takes the upstream out until the next probe, for twice as long as before.
func (health *health) eject(now time.Time) {
	health.trial = false
	health.ejected = true
	health.pause = min(max(2*health.pause, firstEjection), longestEjection)
	health.probeAt = now.Add(health.pause)
}

// probed notes the end of a probe.
func (health *health) probed(works bool, now time.Time) {
	if !works {
		health.eject(now)
		return
	}
	health.ejected = false
	health.trial = true
}

// admits reports whether a request may go to an upstream that runs this many of ours.
func (health *health) admits(running int) bool {
	if health.ejected {
		return false
	}
	return !health.trial || running == 0
}
