package quota

import "time"

const (
	// SettleTime is the time after its start for which a daemon may not know all others, and unsettledFactor the factor by which it takes
	// them to be more than it sees.
	SettleTime      = 3 * time.Second
	unsettledFactor = 1.5
)

// Members is what a daemon knows of all daemons, itself included.
type Members struct {
	// Live lists the daemons that are seen and not leaving.
	Live []string
	// Seen is the number of daemons among which quotas are divided, at least that of the live ones.
	Seen int
}

// NewMembers returns the members of a daemon that started the given time ago. seen is the number of daemons that it saw lately, and
// seeds that of the others that its settings name.
func NewMembers(live []string, seen, seeds int, age time.Duration) Members {
	if age < SettleTime {
		seen = int(unsettledFactor * float64(max(seen, seeds+1)))
	}
	return Members{Live: live, Seen: max(seen, len(live), 1)}
}
