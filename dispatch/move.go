package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

const (
	// lookEvery is the interval at which a running stream looks whether its upstream leaves.
	lookEvery = time.Second
	// moveAfter is the time for which a stream goes on at a leaving upstream; most end by themselves in it.
	moveAfter = 5 * time.Second
)

// errMove ends the relay of a stream that is to go on at another upstream.
var errMove = errors.New("upstream leaves and the stream moves")

// departure watches whether the upstream of a running stream leaves.
type departure struct {
	// looked is the time of the last look.
	looked time.Time
	// since is the time of the first sign, or zero.
	since time.Time
	// stays states that the stream cannot move.
	stays bool
}

// departing reports whether the stream on the place should move now.
func (journey *journey) departing(place *place) bool {
	watch := &journey.departure
	now := journey.dispatcher.clock.Now()
	if watch.stays || now.Sub(watch.looked) < lookEvery {
		return false
	}
	watch.looked = now
	if !journey.dispatcher.leaving(place) {
		watch.since = time.Time{}
		return false
	}
	if watch.since.IsZero() {
		watch.since = now
	}
	return now.Sub(watch.since) >= moveAfter && journey.dispatcher.elsewhere(place)
}

// leaving reports whether the upstream of the place shows that it leaves.
func (dispatcher *Dispatcher) leaving(place *place) bool {
	snapshot, err := place.lane.look()
	if err != nil {
		return false
	}
	found, ok := snapshot.find(place.candidate.Upstream)
	return ok && found.Leaving
}

// elsewhere reports whether another upstream can serve the lane of the place.
func (dispatcher *Dispatcher) elsewhere(place *place) bool {
	snapshot, err := place.lane.look()
	return err == nil && dispatcher.served(snapshot)
}

// export takes the generation off the upstream of the place. If it cannot, the stream stays there.
func (journey *journey) export(ctx context.Context, place *place) bool {
	from, _ := journey.dispatcher.deps.Engines.Generator(place.candidate.Upstream)
	mover, ok := from.(Migrator)
	if !ok {
		journey.departure.stays = true
		return false
	}
	blob, err := mover.Export(ctx, journey.req.ID)
	if err != nil {
		journey.departure.stays = true
		return false
	}
	event.StreamMoved.Log("Request", journey.req.ID, "From", place.candidate.Upstream, "After", journey.last, "Bytes", len(blob))
	journey.mayHaveRun = true
	journey.doubt = outcome.New(outcome.UpstreamLost, "the stream found no upstream to go on at")
	journey.moving = blob
	journey.departure = departure{}
	return true
}

// take hands an exported generation to the next upstream, if there is one to hand over.
func (journey *journey) take(ctx context.Context, to upstream.Generator) error {
	if journey.moving == nil {
		return nil
	}
	blob := journey.moving
	journey.moving = nil
	mover, ok := to.(Migrator)
	if !ok {
		return outcome.New(outcome.UpstreamLost, "the stream could not go on at another upstream")
	}
	if err := mover.Import(ctx, journey.req.ID, blob); err != nil {
		return outcome.New(outcome.UpstreamLost, "the stream could not go on at another upstream").WithCause(err)
	}
	return nil
}
