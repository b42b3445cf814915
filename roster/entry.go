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
	// Raw is the row as read, for daemons that cannot read the table.
	Raw []byte
	// Missing is when the row was first found gone after an outage; zero while it is there.
	Missing time.Time
}
