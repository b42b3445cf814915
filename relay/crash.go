package relay

import (
	"strconv"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

// CrashOf returns the end of a run of a replica, as it counts against requests.
func CrashOf(replica topology.Incarnation) quarantine.Crash {
	return quarantine.Crash{Upstream: replica.ID, BootID: strconv.FormatInt(replica.Started, 10)}
}

// quarantined returns the refusal of a request that crashed replicas, or nil if it may run.
func (journey *journey) quarantined(now time.Time) *outcome.Error {
	wait, refused := journey.relay.deps.Suspects.Refused(journey.fingerprint, now)
	if !refused {
		return nil
	}
	return outcome.New(outcome.Quarantined, "earlier sendings crashed replicas").WithRetryAfter(wait)
}

// countBreak counts a run that broke off at the replica.
func (journey *journey) countBreak(candidate balance.Candidate, now time.Time) {
	crashes := journey.relay.deps.Suspects.ConnectionLost(journey.fingerprint, CrashOf(candidate.Incarnation), now)
	event.BreakCounted.Log("Request", journey.request.Traits.ID, "Fingerprint", journey.fingerprint,
		"Replica", candidate.ID, "Born", candidate.Started, "Crashes", crashes)
}
