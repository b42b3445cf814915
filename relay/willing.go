package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/outcome"
)

// willing returns the candidates that take requests by their own word, and the earliest end of a rest of those that do not
// for a while; zero if there is none.
func (journey *journey) willing(candidates []balance.Candidate, now time.Time) ([]balance.Candidate, time.Time) {
	notices := journey.relay.deps.Notices
	var back time.Time
	taking := make([]balance.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if notices.Accepts(candidate.Incarnation, now) {
			taking = append(taking, candidate)
			continue
		}
		until, resting := notices.BackoffUntil(candidate.Incarnation, now)
		if resting && !notices.Leaving(candidate.Incarnation) && (back.IsZero() || until.Before(back)) {
			back = until
		}
	}
	return taking, back
}

// resting returns the refusal of a request for which all replicas rest until the time, or nil if it waits for that. It
// waits no longer than for a replica with room.
func (journey *journey) resting(now, back time.Time) *outcome.Error {
	if !back.After(journey.crowdedUntil()) {
		return nil
	}
	advice := back.Sub(now) + journey.spread()
	total := journey.deadline.Sub(journey.request.Arrived)
	if back.After(journey.latest(total)) {
		return outcome.New(outcome.DeadlineUnmeetable, "all replicas want no request until the deadline").WithRetryAfter(advice)
	}
	return outcome.New(outcome.QueueFull, "all replicas want no request for a while").WithRetryAfter(advice)
}
