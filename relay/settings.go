package relay

import (
	"cmp"
	"time"
)

// Settings holds what a relay is told of its daemon. The zero value of a time means its default.
type Settings struct {
	// Zone is the data centre of the daemon.
	Zone string
	// ResponseMargin is the time before a client's deadline at which its request gets its final answer;
	// zero means 15 ms.
	ResponseMargin time.Duration
	// RetryShare and MaxSavedRetries limit the second sendings for each service.
	RetryShare, MaxSavedRetries float64
}

func (settings Settings) withDefaults() Settings {
	settings.ResponseMargin = cmp.Or(settings.ResponseMargin, 15*time.Millisecond)
	return settings
}
