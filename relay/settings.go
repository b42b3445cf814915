package relay

import (
	"cmp"
	"time"
)

// Settings configures a Relay.
type Settings struct {
	// Zone is the data centre of the daemon.
	Zone string
	// ResponseMargin is how long before the client's timeout a request gets its final response; zero means 15 ms.
	ResponseMargin time.Duration
	// RetryShare is the number of retries that each request adds to the budget of its service, and MaxSavedRetries
	// the largest budget.
	RetryShare, MaxSavedRetries float64
	// KeyRevocation is how long a removed key may still be accepted. Zero means that it is not bounded.
	KeyRevocation time.Duration
}

func (settings Settings) withDefaults() Settings {
	settings.ResponseMargin = cmp.Or(settings.ResponseMargin, 15*time.Millisecond)
	return settings
}
