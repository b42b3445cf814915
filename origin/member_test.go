package origin

import "context"

// member is one process of a daemon. It does not know that it is out of step: it learns of changes when it reads the table.
type member struct {
	history  *history
	registry *Registry
	log      Log
	name     string
	// frozen is set while the process stands still, storeCut while it does not reach the store, and peersCut while it does not
	// reach other daemons.
	frozen, storeCut, peersCut bool
	// read is the number of changes up to which it has read the table.
	read int
}

// readTable reads which releases serve, and lists them.
func (member *member) readTable() {
	member.readRemovals()
	member.registry.SetServing(Releases{"s": member.history.table()}, member.history.now)
	member.read = member.history.changes
	member.list()
}

// list brings the inventory up to date.
func (member *member) list() {
	history := member.history
	member.registry.SetInventory(history.inventory, history.now)
	history.inventory, _ = member.registry.NextInventory(history.inventory, history.era, history.now)
	member.registry.SetInventory(history.inventory, history.now)
}

// readRemovals reads which releases left since the table was read. The registry is in doubt if it did not know one.
func (member *member) readRemovals() {
	for _, left := range member.history.left {
		if left.change > member.read && !member.registry.services.isKnown("s", left.release) {
			member.registry.Doubt(member.history.now.Add(Retention))
		}
	}
}

// isKnown reports whether the release of the service serves or was seen.
func (services services) isKnown(service, release string) bool {
	_, known := services[service][release]
	return known
}

// Refresh reads which releases serve now.
func (member *member) Refresh() <-chan bool {
	done := make(chan bool, 1)
	defer close(done)
	if !member.storeCut {
		member.readRemovals()
		for _, release := range member.history.table() {
			member.registry.Witness(Origin{"s", release}, member.history.now)
		}
	}
	done <- !member.storeCut
	return done
}

// Ask reads the recorded streams and asks all other daemons that it reaches.
func (member *member) Ask(_ context.Context, id string, confirm bool) (Source, bool) {
	history, confirmed := member.history, false
	for _, page := range history.rows {
		if !member.storeCut {
			member.registry.Learn(page.Streams, history.now)
			member.registry.LearnReleases(page.lately.Sightings(), history.now)
		}
	}
	for _, other := range history.daemons {
		if other == member || member.peersCut || other.frozen || other.peersCut {
			continue
		}
		if found, ok := other.registry.Find(id, history.now); ok {
			member.registry.Learn([]Stream{{found, id}}, history.now)
		}
		confirmed = confirmed || (confirm && <-other.Refresh() && other.registry.Knows(history.now))
		member.registry.LearnReleases(other.registry.Sightings(history.now), history.now)
	}
	return Daemon, confirmed
}
