package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
)

// opening is the part of an attempt before its first event.
type opening struct {
	journey   *journey
	candidate balance.Candidate
	place     demand.ReplicaKey
	// sent is when the attempt began.
	sent time.Time
	// over states that the first event came, or that the attempt ended without it.
	over bool
}

// open begins an attempt at the candidate.
func (journey *journey) open(candidate balance.Candidate) *opening {
	opened := &opening{
		journey:   journey,
		candidate: candidate,
		place:     demand.ReplicaKey{Incarnation: candidate.Incarnation, Key: journey.key()},
		sent:      journey.relay.deps.Clock.Now(),
	}
	journey.relay.deps.Demand.AddInFlight(opened.place, journey.ask.Rank)
	return opened
}

// begin notes the first event. Later ones change nothing.
func (opening *opening) begin() {
	if opening.over {
		return
	}
	opening.note(true)
	relay := opening.journey.relay
	relay.deps.Balancer.Answered(opening.candidate.Incarnation, relay.deps.Clock.Since(opening.sent))
}

// end notes the end of the attempt.
func (opening *opening) end() {
	if !opening.over {
		opening.note(false)
	}
	opening.journey.relay.deps.Demand.RemoveInFlight(opening.place)
}

func (opening *opening) note(begun bool) {
	opening.over = true
	relay := opening.journey.relay
	relay.deps.Balancer.Begun(opening.candidate, opening.journey.ask, relay.deps.Clock.Since(opening.sent), begun)
	relay.deps.Demand.MarkFirstEvent(opening.place, opening.journey.ask.Rank)
}
