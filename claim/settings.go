package claim

import "time"

// Settings are the bounds of a Store. The zero value of a field means its default.
type Settings struct {
	// Incarnation names this run of the daemon; no other run ever had it.
	Incarnation string
	// Ended reports whether the run of a daemon is known to be over; nil knows of none.
	Ended func(incarnation string) bool
	// ShouldSweep reports whether this daemon deletes old claims now; nil means never.
	ShouldSweep func() bool
	// Timeout bounds one call of the table service; zero means 2 s.
	Timeout time.Duration
	// MaxRunTime bounds how long a call may run; zero means 10 min.
	MaxRunTime time.Duration
}

// The defaults and bounds.
const (
	defaultTimeout = 2 * time.Second
	defaultRunsFor = 10 * time.Minute
	// groupParts is the largest number of changes in one transaction.
	groupParts = 32
	// groupBytes is the size at which a transaction takes no further change.
	groupBytes = 256 << 10
	// pendingMost is the largest number of changes that wait for a transaction.
	pendingMost = 1024
	// laterMost is the largest number of changes that wait for the table service to come back.
	laterMost = 1024
	// tries is the number of times that an unclear transaction is sent.
	tries = 3
)

// withDefaults returns the settings with the defaults filled in.
func (settings Settings) withDefaults() Settings {
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.MaxRunTime == 0 {
		settings.MaxRunTime = defaultRunsFor
	}
	if settings.Ended == nil {
		settings.Ended = func(string) bool { return false }
	}
	if settings.ShouldSweep == nil {
		settings.ShouldSweep = func() bool { return false }
	}
	return settings
}
