package roster

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Entry is one replica with the version of the row that describes it.
type Entry struct {
	// Replica is the last description.
	Replica topology.Replica
	// Version is the version of its row.
	Version uint64
	// Changed is the version of the last change that others need to know; it is set by the roster.
	Changed uint64
	// Raw is the row as read, for daemons that cannot read the table.
	Raw []byte
	// Missing is when the row was first found gone after an outage; zero while it is there.
	Missing time.Time
}

// sameRoute reports whether requests find the replica of both entries in the same way. What an engine holds is told
// by the holder of the lease.
func (entry *Entry) sameRoute(other *Entry) bool {
	a, b := &entry.Replica, &other.Replica
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Draining == b.Draining && a.Remaining == b.Remaining && a.Slots == b.Slots
}
