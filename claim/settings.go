package claim

import "time"

// Settings configures a Store. The zero value of a field means its default.
type Settings struct {
	// Incarnation identifies this process of the daemon and is never reused.
	Incarnation string
	// Ended reports whether a daemon process is known to have ended; nil means that none is known to.
	Ended func(incarnation string) bool
	// ShouldSweep reports whether this daemon deletes old claims now; nil means never.
	ShouldSweep func() bool
	// Timeout bounds one call of the table service; zero means 2 s.
	Timeout time.Duration
	// MaxRunTime bounds the time that a call may run; zero means 10 min.
	MaxRunTime time.Duration
}

// The default settings and the limits.
const (
	defaultTimeout    = 2 * time.Second
	defaultMaxRunTime = 10 * time.Minute
	// maxBatchChanges is the largest number of changes in one transaction.
	maxBatchChanges = 32
	// maxBatchBytes is the largest size of a transaction of several changes, in bytes.
	maxBatchBytes = 256 << 10
	// maxPending is the largest number of changes that wait for a transaction.
	maxPending = 1024
	// maxPostponed is the largest number of changes that wait for the table service to become available.
	maxPostponed = 1024
	// maxAttempts is the number of times that a transaction with an unclear result is sent.
	maxAttempts = 3
)

// withDefaults returns the settings with the defaults filled in.
func (settings Settings) withDefaults() Settings {
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.MaxRunTime == 0 {
		settings.MaxRunTime = defaultMaxRunTime
	}
	if settings.Ended == nil {
		settings.Ended = func(string) bool { return false }
	}
	if settings.ShouldSweep == nil {
		settings.ShouldSweep = func() bool { return false }
	}
	return settings
}
