package observer

import "time"

const (
	defaultEvery   = time.Second
	defaultBusy    = 100 * time.Millisecond
	defaultTimeout = time.Second
)

// Settings are the paces of an observer. The zero value means the defaults.
type Settings struct {
	// Interval is the interval between two questions; zero means 1 s.
	Interval time.Duration
	// TransitionInterval is the interval while a replica changes its phase; zero means 100 ms.
	TransitionInterval time.Duration
	// Timeout bounds one question; zero means 1 s.
	Timeout time.Duration
}

func (settings Settings) withDefaults() Settings {
	if settings.Interval <= 0 {
		settings.Interval = defaultEvery
	}
	if settings.TransitionInterval <= 0 {
		settings.TransitionInterval = defaultBusy
	}
	if settings.Timeout <= 0 {
		settings.Timeout = defaultTimeout
	}
	return settings
}
