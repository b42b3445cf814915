package origin

import (
	"maps"
	"slices"
	"time"
)

// services holds the releases of all services that serve or did lately.
type services map[string]map[string]presence

// presence is whether a release serves.
type presence struct {
	// serving is set while the release has a replica.
	serving bool
	// seen is when the release last had one, if serving is not set.
	seen time.Time
	// witnessed is when this daemon itself last saw that; zero if it knows the release from others only.
	witnessed time.Time
}

// servedLately reports whether the release serves or did within Retention. It is false for the zero value.
func (known presence) servedLately(now time.Time) bool {
	return known.serving || now.Sub(known.seen) < Retention
}

// set replaces the releases that serve, and returns the services that have more than one release lately and had one before.
func (services services) set(serving Releases, now time.Time) []string {
	before := map[string]int{}
	for service, releases := range services {
		before[service] = len(services.lately(service, now))
		for release, known := range releases {
			if known.serving {
				releases[release] = presence{seen: now, witnessed: now}
			}
		}
	}
	for service, releases := range serving {
		for _, release := range releases {
			services.add(service, release, presence{serving: true})
		}
	}
	var mixed []string
	for service := range services {
		if before[service] < 2 && len(services.lately(service, now)) > 1 {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// add sets the presence of a release.
func (services services) add(service, release string, known presence) {
	if services[service] == nil {
		services[service] = map[string]presence{}
	}
	services[service][release] = known
}

// learn adds releases that others saw, and returns the services that have more than one release lately and had one before.
func (services services) learn(seen Sightings, now time.Time) []string {
	var mixed []string
	for service, releases := range seen {
		before := 0
		if services.anyNew(service, releases, now) {
			before = len(services.lately(service, now))
		}
		for release, age := range releases {
			services.sight(service, release, now.Add(-age))
		}
		if before == 1 && len(services.lately(service, now)) > 1 {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// sight records that the release served at the time.
func (services services) sight(service, release string, at time.Time) {
	known := services[service][release]
	if !known.serving && at.After(known.seen) {
		known.seen = at
		services.add(service, release, known)
	}
}

// anyNew reports whether one of the releases neither serves nor did lately.
func (services services) anyNew(service string, releases map[string]time.Duration, now time.Time) bool {
	for release := range releases {
		known, ok := services[service][release]
		if !ok || !known.servedLately(now) {
			return true
		}
	}
	return false
}

// sightings returns the releases that serve or did within Retention.
func (services services) sightings(now time.Time) Sightings {
	found := Sightings{}
	for service := range services {
		for _, release := range services.lately(service, now) {
			age := time.Duration(0)
			if known := services[service][release]; !known.serving {
				age = max(now.Sub(known.seen), 0)
			}
			found.Add(service, release, age)
		}
	}
	return found
}

// witnessed returns the releases of all services that this daemon itself saw within Retention.
func (services services) witnessed(now time.Time) Releases {
	found := Releases{}
	for service := range services {
		for _, release := range services.lately(service, now) {
			known := services[service][release]
			if known.serving || (!known.witnessed.IsZero() && now.Sub(known.witnessed) < Retention) {
				found[service] = append(found[service], release)
			}
		}
	}
	return found
}

// lately returns the releases of the service that serve or did within Retention, in ascending order.
func (services services) lately(service string, now time.Time) []string {
	var releases []string
	for release, known := range services[service] {
		if known.servedLately(now) {
			releases = append(releases, release)
		}
	}
	slices.Sort(releases)
	return releases
}

// all returns the releases of all services that serve or did within Retention.
func (services services) all(now time.Time) Releases {
	found := Releases{}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		if releases := services.lately(service, now); len(releases) > 0 {
			found[service] = releases
		}
	}
	return found
}

// listedFor is how long a release stays in the inventory after its last replica has left.
const listedFor = 2 * Retention

// prune drops the releases that left so long ago that the inventory need not list them.
func (services services) prune(now time.Time) {
	for service, releases := range services {
		maps.DeleteFunc(releases, func(_ string, known presence) bool { return !known.serving && now.Sub(known.seen) >= listedFor })
		if len(releases) == 0 {
			delete(services, service)
		}
	}
}
