package route

import "time"

// The limits of ejection (outlier detection).
const (
	// ejectAfter is the number of consecutive failures that eject an upstream.
	ejectAfter = 3
	// firstEjection is the time before the first probe of an ejected upstream.
	firstEjection = time.Second
	// maxEjection bounds the time between two probes.
	maxEjection = 30 * time.Second
)

// health is the ejection state of one upstream. Its zero value is healthy.
type health struct {
	// failures is the number of consecutive failures.
	failures int
	// lastFingerprint is the fingerprint of the last request that failed and may itself be the cause.
	lastFingerprint uint64
	// ejected states that the upstream gets no requests until a probe succeeds.
	ejected bool
	// trial states that a probe succeeded and the upstream gets one request at a time until one succeeds.
	trial bool
	// probeAt is the time of the next probe while ejected.
	probeAt time.Time
	// backoff is the time between the last ejection or failed probe and probeAt.
	backoff time.Duration
}

// recordFailure counts a failure and ejects the upstream on trial or after ejectAfter consecutive failures.
func (health *health) recordFailure(now time.Time) {
	health.failures++
	if health.trial || health.failures >= ejectAfter {
		health.ejectOnce(now)
	}
}

// ejectOnce ejects the upstream unless it is already ejected, so that concurrent failures do not increase the backoff.
func (health *health) ejectOnce(now time.Time) {
	if !health.ejected {
		health.eject(now)
	}
}

// eject ejects the upstream until the next probe and doubles the backoff.
func (health *health) eject(now time.Time) {
	health.trial = false
	health.ejected = true
	health.backoff = min(max(2*health.backoff, firstEjection), maxEjection)
	health.probeAt = now.Add(health.backoff)
}

// recordProbe records the result of a probe.
func (health *health) recordProbe(succeeded bool, now time.Time) {
	if !succeeded {
		health.eject(now)
		return
	}
	health.ejected = false
	health.trial = true
}

// admits reports whether a request may go to the upstream, on which this daemon runs the number of requests.
func (health *health) admits(running int) bool {
	if health.ejected {
		return false
	}
	return !health.trial || running == 0
}
