package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/upstream"
)

// The limits of a search for a successor.
const (
	// longestPause is how long a search waits for a sign of life of the upstream before it seeks another one.
	// Sound engines pause for up to two seconds.
	longestPause = 2 * time.Second
	// probeRetryDelay is the delay between two probes of a silent upstream.
	probeRetryDelay = 100 * time.Millisecond
	// wakeTime is the time in which an engine that was paused sends what it owes, once it answers probes.
	wakeTime = 500 * time.Millisecond
	// lostAfter is how long a leg stays silent beside probes that its engine answers until its connection counts as
	// lost. Engines send heartbeats while a generation runs.
	lostAfter = 10 * time.Second
	// searchDelay is the delay between two searches during one silence.
	searchDelay = time.Second
	// maxResumes is the number of further connections to the same upstream that one leg may lead to.
	maxResumes = 3
)

// searchUntil searches again and again until an upstream accepts the request or ctx ends.
func (handover *handover) searchUntil(ctx context.Context, seeker *transaction) *leg {
	for ctx.Err() == nil {
		if successor := handover.search(ctx, seeker); successor != nil {
			return successor
		}
		seeker.wait(ctx, searchDelay)
	}
	return nil
}

// search seeks an upstream that accepts the request: that of the leg over another connection if it lives, else
// another one. It returns nil if there is none now, or ctx ends.
func (handover *handover) search(ctx context.Context, seeker *transaction) *leg {
	reservation := handover.leg.reservation
	boot := seeker.awaitBoot(ctx, reservation)
	switch {
	case ctx.Err() != nil:
		return nil
	case boot == "":
		handover.aliveSince = time.Time{}
		handover.recordUnresponsive(ctx, seeker)
		return handover.seekElsewhere(ctx, seeker)
	case mayHaveCrashed(reservation, boot):
		handover.leg.cancel(errRestarted)
		return nil
	case handover.connectionLost(seeker.dispatcher.clock.Now()):
		handover.leg.cancel(errConnectionLost)
		return nil
	default:
		return handover.reconnect(ctx, seeker)
	}
}

// connectionLost records that the engine answers now, and reports whether it has done so for lostAfter.
func (handover *handover) connectionLost(now time.Time) bool {
	if handover.aliveSince.IsZero() {
		handover.aliveSince = now
	}
	return now.Sub(handover.aliveSince) >= lostAfter
}

// awaitBoot returns the boot of the reserved upstream once it answers a probe, or an empty string if it does not
// within longestPause.
func (transaction *transaction) awaitBoot(ctx context.Context, reservation *reservation) string {
	until := transaction.dispatcher.clock.Now().Add(longestPause)
	for {
		boot := transaction.dispatcher.probe(ctx, reservation.candidate.Upstream)
		if boot != "" || ctx.Err() != nil || !transaction.dispatcher.clock.Now().Before(until) {
			return boot
		}
		transaction.wait(ctx, probeRetryDelay)
	}
}

// recordUnresponsive records once that the upstream of the leg may have crashed while it ran the request.
func (handover *handover) recordUnresponsive(ctx context.Context, seeker *transaction) {
	if handover.unresponsive {
		return
	}
	handover.unresponsive = true
	seeker.recordCrash(ctx, handover.leg.reservation)
}

// reconnect sends the request to the upstream of the leg over another connection.
func (handover *handover) reconnect(ctx context.Context, seeker *transaction) *leg {
	if !seeker.req.Idempotent || handover.resumes >= maxResumes {
		return nil
	}
	seeker.wait(ctx, wakeTime)
	generator, ok := seeker.dispatcher.deps.Engines.Generator(handover.leg.name())
	if !ok || ctx.Err() != nil {
		return nil
	}
	handover.resumes++
	successor := handover.newSuccessor(handover.leg.reservation)
	if err := handover.send(ctx, seeker, successor, generator); err != nil {
		if cannotResume(err) {
			handover.resumes = maxResumes
		}
		successor.end(false)
		return nil
	}
	event.StreamResumed.Log("Request", seeker.req.ID, "Upstream", handover.leg.name(), "After", seeker.last)
	return successor
}

// newSuccessor returns a leg on the reserved upstream that does not end with the search.
func (handover *handover) newSuccessor(reservation *reservation) *leg {
	successor := handover.transaction.newLeg(handover.ctx, reservation)
	successor.handover.pending, successor.handover.resumes = true, handover.resumes
	return successor
}

// send sends the request to the upstream of the successor, and gives up when that is silent or ctx ends. A response
// that is no beginning of a success is an error, since the leg may do better.
func (handover *handover) send(ctx context.Context, seeker *transaction, successor *leg, generator upstream.Generator) error {
	handover.markSent(true)
	defer handover.markSent(false)
	stop := context.AfterFunc(ctx, func() { successor.cancel(errOvertaken) })
	defer stop()
	if err := successor.open(generator, seeker.generation(successor.reservation, handover.resumes)); err != nil {
		return err
	}
	if successor.stream.Status() >= firstErrorStatus {
		return upstream.ErrNoResponse
	}
	return nil
}

// cannotResume reports whether the engine refused to go on with a stream because it does not know it.
func cannotResume(err error) bool {
	var refusal *upstream.RefusedError
	return errors.As(err, &refusal) && refusal.CannotResume()
}
