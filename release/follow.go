package release

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/internal/invariant"
)

// peerTimeout bounds the fetching of one update from a peer.
const peerTimeout = 2 * time.Second

// pollPlatform takes over what the platform has in force; while it fails, the highest offer of a peer.
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

// logPlatformBehind logs each lower number of the platform once.
func (follower *Follower) logPlatformBehind(inForce, platform uint64) {
	if follower.loggedBehind == platform+1 {
		return
	}
	follower.loggedBehind = platform + 1
	event.PlatformBehind.Log("InForce", inForce, "Platform", platform)
}

// handleOffers takes over an offer at once, unless no state is known yet: then the next reading of the
// platform decides, and offers of other peers may arrive until then.
func (follower *Follower) handleOffers(ctx context.Context) {
	if _, known := follower.InForce(); known {
		follower.applyBestOffer(ctx)
	}
}

// applyBestOffer takes over the highest offer, or another one if its source fails. A source that failed is
// left until it offers again.
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

// tryOffer takes over an offer and reports whether that brought the follower forward.
func (follower *Follower) tryOffer(ctx context.Context, offer offer, inForce InForce) bool {
	err := follower.applyOffer(ctx, offer, inForce)
	if ctx.Err() == nil {
		follower.recordPeerResult(err, offer)
	}
	return err == nil
}

// applyOffer takes over an offer. It fails if the source does not bring the follower forward.
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

// recordPeerResult logs the first failure of a row.
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

// publish makes the state visible. Only Run calls it.
func (follower *Follower) publish(next InForce, differences []Difference, from string) {
	last, known := follower.InForce()
	rises := !known || next.Number > last.Number
	if !invariant.Check(rises, invariant.InForceRises, "Last", last.Number, "Next", next.Number) {
		return
	}
	follower.recent.add(differences)
	follower.inForce.Store(&next)
	event.NoteInForce.Log("InForce", next.Number, "Last", last.Number, "From", from)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	close(follower.changed)
	follower.changed = make(chan struct{})
}

// recordPollResult keeps the status and logs the first failure of a row and its end.
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
