package release

import (
	"cmp"
	"time"
)

// The defaults of FollowerSettings.
const (
	defaultEvery   = time.Second
	readsPerSecond = 100
	longestEvery   = 5 * time.Second
)

// FollowerSettings holds the times of a follower. The zero value means the defaults.
type FollowerSettings struct {
	// Every is the shortest interval of reading the number in force; zero means 1 s.
	Every time.Duration
	// Daemons returns the number of daemons that follow; nil means one. Beyond 100 daemons the
	// interval grows, to 5 s at most, so that all of them together make 100 reads a second.
	Daemons func() int
}

// interval returns the interval of reading the number in force.
func (settings FollowerSettings) interval() time.Duration {
	every := cmp.Or(settings.Every, defaultEvery)
	if settings.Daemons == nil {
		return every
	}
	shared := time.Duration(settings.Daemons()) * time.Second / readsPerSecond
	return max(every, min(shared, longestEvery))
}
