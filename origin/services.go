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
}

// set replaces the releases that serve, and returns the services that have more than one release lately and had one before.
func (services services) set(serving Releases, now time.Time) []string {
	before := map[string]int{}
	for service, releases := range services {
		before[service] = len(services.lately(service, now))
		for release, known := range releases {
			if known.serving {
				releases[release] = presence{seen: now}
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

// learn adds releases that were seen lately, and returns the services that have more than one release lately and had one before.
func (services services) learn(seen Releases, now time.Time) []string {
	var mixed []string
	for service, releases := range seen {
		before := 0
		if services.anyNew(service, releases, now) {
			before = len(services.lately(service, now))
		}
		for _, release := range releases {
			if !services[service][release].serving {
				services.add(service, release, presence{seen: now})
			}
		}
		if before == 1 {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// anyNew reports whether one of the releases neither serves nor did lately.
func (services services) anyNew(service string, releases []string, now time.Time) bool {
	return slices.ContainsFunc(releases, func(release string) bool {
		known, ok := services[service][release]
		return !ok || (!known.serving && now.Sub(known.seen) >= Retention)
	})
}

// lately returns the releases of the service that serve or did within Retention, in ascending order.
func (services services) lately(service string, now time.Time) []string {
	var releases []string
	for release, known := range services[service] {
		if known.serving || now.Sub(known.seen) < Retention {
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

// prune drops the releases that left longer than Retention ago.
func (services services) prune(now time.Time) {
	for service, releases := range services {
		maps.DeleteFunc(releases, func(_ string, known presence) bool { return !known.serving && now.Sub(known.seen) >= Retention })
		if len(releases) == 0 {
			delete(services, service)
		}
	}
}
