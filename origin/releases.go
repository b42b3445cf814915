package origin

import (
	"time"
)

// SetServing replaces the releases that have replicas. It must be called before a request is sent to a new release. If a
// service has a second release from now on, all streams that this daemon began there are to be recorded.
func (registry *Registry) SetServing(serving Releases, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.awaitAll(registry.services.set(serving, now))
	registry.services.prune(now)
	registry.unlistFormer(now)
}

// LearnReleases adds releases that others saw. If a service has a second release from now on, all streams that this daemon began
// there are to be recorded.
func (registry *Registry) LearnReleases(seen Sightings, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.awaitAll(registry.services.learn(seen, now))
}

// Witness is LearnReleases for the release of a replica whose row this daemon read just now.
func (registry *Registry) Witness(began Origin, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.witness(began, now)
}

// witness is Witness. The mutex is held.
func (registry *Registry) witness(began Origin, now time.Time) {
	registry.awaitAll(registry.services.learn(Releases{began.Service: {began.Release}}.Sightings(), now))
	known := registry.services[began.Service][began.Release]
	known.witnessed = now
	registry.services.add(began.Service, began.Release, known)
}

// Sightings returns the releases that serve or did lately, for other daemons.
func (registry *Registry) Sightings(now time.Time) Sightings {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.services.sightings(now)
}

// Witnessed returns the releases that serve or did lately, but for those known from others only. Only these are recorded: what is
// recorded has no time, and counts from when it is read.
func (registry *Registry) Witnessed(now time.Time) Releases {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.services.witnessed(now)
}

// Serves reports whether the release serves, according to the last call of SetServing.
func (registry *Registry) Serves(began Origin) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.services[began.Service][began.Release].serving
}

// Only returns the release that began all streams of the service that a client may take up, as of the newest rows that were read.
// It returns false if there may be several, before the registry is complete and while it is in doubt.
func (registry *Registry) Only(service string, now time.Time) (string, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	releases := registry.services.lately(service, now)
	if !registry.knows(now) || len(releases) != 1 {
		return "", false
	}
	return releases[0], true
}

// Lately returns the releases that serve or did lately.
func (registry *Registry) Lately(now time.Time) Releases {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.services.all(now)
}

// Mixed reports whether a service has, or lately had, more than one release.
func (registry *Registry) Mixed(now time.Time) bool {
	for _, releases := range registry.Lately(now) {
		if len(releases) > 1 {
			return true
		}
	}
	return false
}
