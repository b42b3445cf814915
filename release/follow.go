package release

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/internal/invariant"
)

// peerTimeout limits the time to fetch one update from a peer.
const peerTimeout = 2 * time.Second

// pollPlatform advances to the state in force at the platform. If that fails, it tries the offers of peers.
func (follower *Follower) pollPlatform(ctx context.Context) {
	err := follower.advanceToHead(ctx)
	if ctx.Err() != nil {
		return
	}
	follower.recordPollResult(err)
	if err != nil {
		follower.applyBestOffer(ctx)
	}
}

// advanceToHead reads the entry in force at the platform and publishes its state if the number is higher than the
// published one.
func (follower *Follower) advanceToHead(ctx context.Context) error {
	head, _, err := follower.head(ctx)
	if err != nil {
		return err
	}
	inForce, known := follower.InForce()
	if known && head.Number < inForce.Number {
		follower.logPlatformBehind(inForce.Number, head.Number)
		return nil
	}
	if known && head.Number == inForce.Number {
		return nil
	}
	next, differences, err := follower.advance(ctx, inForce, head)
	if err != nil {
		return err
	}
	follower.publish(next, differences, "platform")
	return nil
}

// logPlatformBehind logs that the platform has a lower number than the follower, once for each such number.
func (follower *Follower) logPlatformBehind(inForce, platform uint64) {
	if follower.loggedBehind == platform+1 {
		return
	}
	follower.loggedBehind = platform + 1
	event.PlatformBehind.Log("InForce", inForce, "Platform", platform)
}

// handleOffers applies an offer at once, unless no state is known yet. In that case the next poll of the platform
// decides, so that offers of further peers can arrive until then.
func (follower *Follower) handleOffers(ctx context.Context) {
	if _, known := follower.InForce(); known {
		follower.applyBestOffer(ctx)
	}
}

// applyBestOffer applies the highest offer, or a random other one if that fails. An offer whose source failed is
// discarded until the source offers again.
func (follower *Follower) applyBestOffer(ctx context.Context) {
	inForce, _ := follower.InForce()
	highest, ok := follower.offers.takeHighest(inForce.Number)
	if !ok || follower.tryOffer(ctx, highest, inForce) {
		return
	}
	if another, ok := follower.offers.takeRandom(inForce.Number); ok {
		follower.tryOffer(ctx, another, inForce)
	}
}

// tryOffer applies an offer, records the result and reports whether the follower advanced.
func (follower *Follower) tryOffer(ctx context.Context, offer offer, inForce InForce) bool {
	err := follower.applyOffer(ctx, offer, inForce)
	if ctx.Err() == nil {
		follower.recordPeerResult(err, offer)
	}
	return err == nil
}

// applyOffer fetches an update from the source of the offer and publishes the resulting state. It fails if the update
// does not advance the follower.
func (follower *Follower) applyOffer(ctx context.Context, offer offer, inForce InForce) error {
	limited, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	update, err := offer.source.Since(limited, inForce.Number)
	if err != nil {
		return trace.Wrap(err)
	}
	if update.Number <= inForce.Number {
		return trace.BadParameter("update ends at number %d, number %d is in force", update.Number, inForce.Number)
	}
	next, err := inForce.applyUpdate(update)
	if err != nil {
		return err
	}
	follower.publish(next, update.Differences, "peer")
	return nil
}

// recordPeerResult counts consecutive failures of updates from peers and logs the first of them.
func (follower *Follower) recordPeerResult(err error, offer offer) {
	if err == nil {
		follower.peerFailures = 0
		return
	}
	if follower.peerFailures == 0 {
		event.PeerUpdateRefused.LogError(err, "Offered", offer.number)
	}
	follower.peerFailures++
}

// publish makes the state visible to readers. It must be called only from Run.
func (follower *Follower) publish(next InForce, differences []Difference, source string) {
	last, known := follower.InForce()
	increases := !known || next.Number > last.Number
	if !invariant.Check(increases, invariant.InForceRises, "Last", last.Number, "Next", next.Number) {
		return
	}
	follower.recent.add(differences)
	follower.inForce.Store(&next)
	event.NoteInForce.Log("InForce", next.Number, "Last", last.Number, "From", source)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	close(follower.changed)
	follower.changed = make(chan struct{})
}

// recordPollResult updates the status, and logs the first of consecutive failures and the recovery from them.
func (follower *Follower) recordPollResult(err error) {
	follower.mutex.Lock()
	last := follower.status
	next := last.afterPoll(err, follower.clock.Now())
	follower.status = next
	follower.mutex.Unlock()
	var damage *DamageError
	switch {
	case err == nil && last.Failures > 0:
		event.FollowRecovered.Log("Failures", last.Failures)
	case err != nil && last.Failures == 0 && errors.As(err, &damage):
		event.NoteDamaged.LogError(err, "Object", damage.Object, "InForce", damage.Number)
	case err != nil && last.Failures == 0:
		event.FollowFailed.LogError(err)
	}
}
