package roster

import (
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/topology"
)

// Entry is one replica with the version of the row that describes it.
type Entry struct {
	// Replica is the latest description of the replica.
	Replica topology.Replica
	// Version is the version of the row.
	Version datastore.Version
	// Changed is the version of the last change that has to be propagated to other daemons; the roster sets it.
	Changed datastore.Version
	// Raw is the row as read, for daemons that cannot read the table themselves.
	Raw []byte
	// Missing is when the row was first missing after an outage; zero while it is in the table.
	Missing time.Time
	// Copied is what a store that came back from an older copy says of the replica, if that is an earlier incarnation than Replica; nil
	// otherwise. It replaces the entry unless a newer row comes within RewriteTime.
	Copied *Entry
}

// isFormerOf reports whether the entry, from a later era of the store, describes an incarnation before the known one: it is from an older
// copy, and the replica will write its row again.
func (entry *Entry) isFormerOf(known *Entry) bool {
	return known.Version.Era() < entry.Version.Era() && entry.Replica.Started < known.Replica.Started
}

// sameRoute reports whether requests are routed to the replica of both entries in the same way. The models that an
// engine holds are not compared, since the holder of the lease announces them.
func (entry *Entry) sameRoute(other *Entry) bool {
	a, b := &entry.Replica, &other.Replica
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Release == b.Release &&
		a.Draining == b.Draining && a.Remaining == b.Remaining && a.Slots == b.Slots
}
