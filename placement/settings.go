package placement

import "time"

const (
	defaultConcurrency = 16
	defaultIdleAfter   = 10 * time.Second
	defaultDrain       = time.Second
	// scaleDownShare is the largest share of the remaining capacity that the load may use after
	// a replica is unloaded.
	scaleDownShare = 0.5
)

// Settings holds the durations of placement. The zero value means the defaults.
type Settings struct {
	// IdleAfter is how long a replica must have been idle before it is unloaded; zero means 10
	// s.
	IdleAfter time.Duration
	// UnloadTime is the expected time from an unload to free memory; zero means 1 s.
	UnloadTime time.Duration
}

func (settings Settings) withDefaults() Settings {
	if settings.IdleAfter == 0 {
		settings.IdleAfter = defaultIdleAfter
	}
	if settings.UnloadTime == 0 {
		settings.UnloadTime = defaultDrain
	}
	return settings
}
