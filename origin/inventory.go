package origin

import (
	"slices"
	"time"
)

// Inventory is what the store holds of the releases of all services while nothing else is recorded of them. It tells daemons that
// start when no other is left which releases served before.
type Inventory struct {
	// Era is the last era of the store in which replicas had the time to write again what the copy lacked that it came back from. Rows
	// that are read in a later one may be all that the copy had.
	Era uint64
	// Releases lists the releases that serve or did lately.
	Releases Releases
}

// SetInventory records what the store holds. Releases of which the registry knows nothing count as seen just now.
func (registry *Registry) SetInventory(inventory Inventory, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.listed = map[Origin]bool{}
	unknown := Releases{}
	for service, releases := range inventory.Releases {
		for _, release := range releases {
			registry.listed[Origin{service, release}] = true
			if _, known := registry.services[service][release]; !known {
				unknown[service] = append(unknown[service], release)
			}
		}
	}
	registry.awaitAll(registry.services.learn(unknown.Sightings(), now))
	registry.unlistFormer(now)
}

// LoseInventory records that the store may have lost the inventory.
func (registry *Registry) LoseInventory() {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.listed = nil
}

// unlistFormer makes releases that did not serve lately count as not listed: the inventory may drop them. The mutex is held.
func (registry *Registry) unlistFormer(now time.Time) {
	for began := range registry.listed {
		if !registry.services[began.Service][began.Release].servedLately(now) {
			delete(registry.listed, began)
		}
	}
}

// LacksListing reports whether the inventory, as far as is known, lacks a release that this daemon itself saw lately.
func (registry *Registry) LacksListing(now time.Time) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for service, releases := range registry.services.witnessed(now) {
		for _, release := range releases {
			if !registry.listed[Origin{service, release}] {
				return true
			}
		}
	}
	return false
}

// NextInventory returns the inventory that has to replace the given one, and whether they differ. A release stays for twice Retention
// after it last served, so that it is listed for as long as any daemon counts it among those that served lately. The era of the store
// is stated once the registry knows all releases in it.
func (registry *Registry) NextInventory(inventory Inventory, era uint64, now time.Time) (Inventory, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	next := Inventory{Era: inventory.Era, Releases: registry.services.witnessed(now)}
	if registry.knows(now) {
		next.Era = max(next.Era, era)
	}
	changed := next.Era > inventory.Era
	for service, releases := range inventory.Releases {
		for _, release := range releases {
			switch _, known := registry.services[service][release]; {
			case !known:
				changed = true
			case !slices.Contains(next.Releases[service], release):
				next.Releases[service] = append(next.Releases[service], release)
			}
		}
	}
	for service, releases := range next.Releases {
		slices.Sort(releases)
		changed = changed || !slices.Equal(releases, inventory.Releases[service])
	}
	return next, changed
}
