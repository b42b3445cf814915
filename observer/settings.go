package observer

import "time"

const (
	defaultInterval           = time.Second
	defaultTransitionInterval = 100 * time.Millisecond
	defaultTimeout            = time.Second
)

// Settings holds the intervals of an Observer. A field that is zero or negative means its default.
type Settings struct {
	// Interval is the time between a response and the next poll; zero means 1 s.
	Interval time.Duration
	// TransitionInterval is the interval while a replica is loading or unloading; zero means 100 ms.
	TransitionInterval time.Duration
	// Timeout limits one poll; zero means 1 s.
	Timeout time.Duration
}

func (settings Settings) withDefaults() Settings {
	if settings.Interval <= 0 {
		settings.Interval = defaultInterval
	}
	if settings.TransitionInterval <= 0 {
		settings.TransitionInterval = defaultTransitionInterval
	}
	if settings.Timeout <= 0 {
		settings.Timeout = defaultTimeout
	}
	return settings
}
