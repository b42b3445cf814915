package observer

import "time"

const (
	defaultEvery   = time.Second
	defaultBusy    = 100 * time.Millisecond
	defaultTimeout = time.Second
)

// Settings are the paces of an observer. The zero value means the defaults.
type Settings struct {
	// Every is the interval between two questions; zero means 1 s.
	Every time.Duration
	// Busy is the interval while a replica changes its phase; zero means 100 ms.
	Busy time.Duration
	// Timeout bounds one question; zero means 1 s.
	Timeout time.Duration
}

func (settings Settings) withDefaults() Settings {
	if settings.Every <= 0 {
		settings.Every = defaultEvery
	}
	if settings.Busy <= 0 {
		settings.Busy = defaultBusy
	}
	if settings.Timeout <= 0 {
		settings.Timeout = defaultTimeout
	}
	return settings
}
