package origin

import (
	"cmp"
	"context"
	"time"

	"k8s.io/utils/clock"
)

const (
	// askDelay is how long a Resolver waits for the table of replicas before it asks other daemons, and refreshWait how long it waits
	// for it after they answered.
	askDelay    = 100 * time.Millisecond
	refreshWait = 500 * time.Millisecond
)

// Sources is where a Resolver learns what its registry lacks. It is safe for concurrent use.
type Sources interface {
	// Refresh passes the releases of all replicas to the registry, by a read of the store that begins after the call. The channel
	// receives whether that succeeded and is closed. Refresh does not block.
	Refresh() <-chan bool
	// Ask passes to the registry what other daemons and the store know of the stream that the attempt began, and of releases. It
	// returns the first source that knew the stream, or an empty one. If confirm is set, it also returns whether one source knows
	// all releases that served lately, by a read of the store that began after the call.
	Ask(ctx context.Context, id string, confirm bool) (source Source, confirmed bool)
}

// Resolver finds the origins of streams that clients take up. It is safe for concurrent use.
//
// A stream that another daemon began may be of a release of which this one knows nothing yet, however recent its data is. So
// that one release serves is believed only after a read of the store that began after the client came: the row of a
// replica is in the store before any daemon sends it a request.
type Resolver struct {
	// Registry is what this daemon knows.
	Registry *Registry
	// Sources is where it learns the rest.
	Sources Sources
	// Clock provides the time and timers.
	Clock clock.WithTicker
}

// Find returns the origin of the stream that the attempt began at the service, and how it is known: Unknown if it is not.
func (resolver *Resolver) Find(ctx context.Context, id, service string) (Origin, Source) {
	if found, ok := resolver.Registry.Find(id, resolver.Clock.Now()); ok {
		return found, Own
	}
	var refreshed <-chan bool
	if _, ok := resolver.only(service); ok {
		refreshed = resolver.Sources.Refresh()
	}
	if Await(ctx, resolver.Clock, refreshed, askDelay) {
		if only, ok := resolver.only(service); ok {
			return only, Only
		}
	}
	source, confirmed := resolver.Sources.Ask(ctx, id, len(resolver.lately(service)) < 2)
	if found, ok := resolver.Registry.Find(id, resolver.Clock.Now()); ok {
		return found, cmp.Or(source, Own)
	}
	if releases := resolver.lately(service); confirmed && len(releases) == 1 {
		return Origin{Service: service, Release: releases[0]}, Only
	}
	if Await(ctx, resolver.Clock, refreshed, refreshWait) {
		if only, ok := resolver.only(service); ok {
			return only, Only
		}
	}
	return Origin{}, Unknown
}

// only returns the origin of all streams of the service, if the registry knows one release only.
func (resolver *Resolver) only(service string) (Origin, bool) {
	release, ok := resolver.Registry.Only(service, resolver.Clock.Now())
	return Origin{Service: service, Release: release}, ok
}

// lately returns the releases of the service that serve or did lately.
func (resolver *Resolver) lately(service string) []string {
	return resolver.Registry.Lately(resolver.Clock.Now())[service]
}

// Await returns what the channel receives about a read of the releases, or false if that is nothing within the time. A nil channel
// receives nothing, and is not waited for.
func Await(ctx context.Context, clk clock.WithTicker, refreshed <-chan bool, wait time.Duration) bool {
	if refreshed == nil {
		return false
	}
	timer := clk.NewTimer(wait)
	defer timer.Stop()
	select {
	case ok := <-refreshed:
		return ok
	case <-timer.C():
	case <-ctx.Done():
	}
	return false
}
