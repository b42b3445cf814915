package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/upstream"
)

// leg is one generation of a request on an upstream, with all that must be given back when it ends.
type leg struct {
	reservation *reservation
	// ctx is the context of the generation. cancel ends it with a cause that tells who ended it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// stream is the response, or nil until the upstream has accepted the request.
	stream upstream.Stream
	// handover seeks the successor of the leg.
	handover handover
	// releases give back what the leg uses. The functions take whether the response was complete.
	releases []func(answered bool)
	// firstReleases is the first storage of releases.
	firstReleases [3]func(answered bool)
}

// newLeg returns a leg on the reserved upstream that has not been sent yet.
func (transaction *transaction) newLeg(ctx context.Context, reservation *reservation) *leg {
	created := &leg{reservation: reservation}
	created.ctx, created.cancel = context.WithCancelCause(ctx)
	created.handover.init(ctx, transaction, created)
	created.releases = created.firstReleases[:0]
	return created
}

// open sends the request. It returns once the upstream has accepted it.
func (leg *leg) open(generator upstream.Generator, generation upstream.Generation) error {
	generation.OnSilence = leg.handover.onSilence
	stream, err := generator.Generate(leg.ctx, generation)
	if err != nil {
		return err
	}
	leg.stream = stream
	return nil
}

// onEnd adds a function that gives back what the leg uses.
func (leg *leg) onEnd(release func(answered bool)) {
	leg.releases = append(leg.releases, release)
}

// end closes the response and gives back what the leg uses, the latest first.
func (leg *leg) end(answered bool) {
	closeStream(leg.stream)
	leg.cancel(nil)
	for index := len(leg.releases) - 1; index >= 0; index-- {
		leg.releases[index](answered)
	}
	leg.releases = nil
}

// name returns the name of the upstream.
func (leg *leg) name() string {
	return leg.reservation.candidate.Upstream
}
