package release

import (
	"cmp"
	"time"
)

// The defaults of FollowerSettings.
const (
	defaultInterval   = time.Second
	maxReadsPerSecond = 100
	maxSharedInterval   = 5 * time.Second
)

// FollowerSettings holds the times of a follower. The zero value means the defaults.
type FollowerSettings struct {
	// MinInterval is the shortest interval of reading the number in force; zero means 1 s.
	MinInterval time.Duration
	// Daemons returns the number of daemons that follow; nil means one. Beyond 100 daemons the
	// interval grows, to 5 s at most, so that all of them together make 100 reads a second.
	Daemons func() int
}

// interval returns the interval of reading the number in force.
func (settings FollowerSettings) interval() time.Duration {
	every := cmp.Or(settings.MinInterval, defaultInterval)
	if settings.Daemons == nil {
		return every
	}
	shared := time.Duration(settings.Daemons()) * time.Second / maxReadsPerSecond
	return max(every, min(shared, maxSharedInterval))
}
