package mesh

import (
	"cmp"
	"time"

	"connectrpc.com/connect"
)

// Settings configures a node. The zero value of a time means its default.
type Settings struct {
	// Self identifies the daemon of this node.
	Self Member
	// Seeds lists addresses of daemons to contact first. Some may not exist.
	Seeds []string
	// GreetingInterval is the interval between two greetings to any daemons; zero means 100 ms. With ten
	// other daemons, each is greeted once a second.
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
