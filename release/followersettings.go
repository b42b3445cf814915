package release

import (
	"cmp"
	"time"
)

// The defaults and limits of the poll interval.
const (
	defaultInterval   = time.Second
	maxReadsPerSecond = 100
	maxSharedInterval = 5 * time.Second
)

// FollowerSettings holds the poll interval of a follower. The zero value selects the defaults.
type FollowerSettings struct {
	// MinInterval is the shortest poll interval; zero means 1 s.
	MinInterval time.Duration
	// Daemons returns the number of daemons that poll the platform; nil means one. Above 100 daemons the interval
	// grows, to at most 5 s, so that all of them together make 100 reads per second.
	Daemons func() int
}

// interval returns the poll interval.
func (settings FollowerSettings) interval() time.Duration {
	interval := cmp.Or(settings.MinInterval, defaultInterval)
	if settings.Daemons == nil {
		return interval
	}
	shared := time.Duration(settings.Daemons()) * time.Second / maxReadsPerSecond
	return max(interval, min(shared, maxSharedInterval))
}
