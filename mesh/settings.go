package mesh

import (
	"cmp"
	"time"

	"connectrpc.com/connect"
)

// Settings tells a node who it is. The zero value of a time means its default.
type Settings struct {
	// Self is the daemon.
	Self Member
	// Seeds lists addresses of daemons to ask first; some may be gone.
	Seeds []string
	// GreetingInterval is the interval of greetings for each other daemon that is known; zero means 100 ms.
	// With ten others, each is greeted once a second.
	GreetingInterval time.Duration
	// CallTimeout bounds one call; zero means 600 ms.
	CallTimeout time.Duration
	// Client sends the calls.
	Client connect.HTTPClient
}

func (settings Settings) withDefaults() Settings {
	settings.GreetingInterval = cmp.Or(settings.GreetingInterval, 100*time.Millisecond)
	settings.CallTimeout = cmp.Or(settings.CallTimeout, 600*time.Millisecond)
	return settings
}
