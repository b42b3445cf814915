package transport

import (
	"cmp"
	"context"
	"net"
	"time"
)

// The defaults of Settings.
const (
	defaultDialTimeout   = time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultConnectionAge = 5 * time.Minute
	defaultConnections   = 4096
)

// Settings bounds the connections of a Client. The zero value of a field means its default.
type Settings struct {
	// DialTimeout bounds the opening of a connection; zero means 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open; zero means 15 s.
	IdleTimeout time.Duration
	// ConnectionAge is the age at which a connection is no longer used for new requests; zero means 5 min.
	ConnectionAge time.Duration
	// Connections is the largest number of connections to the address; zero means 4096.
	Connections int
	// DisableKeepAlives opens a connection for each request and closes it afterwards.
	DisableKeepAlives bool
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (settings Settings) withDefaults() Settings {
	settings.DialTimeout = cmp.Or(settings.DialTimeout, defaultDialTimeout)
	settings.IdleTimeout = cmp.Or(settings.IdleTimeout, defaultIdleTimeout)
	settings.ConnectionAge = cmp.Or(settings.ConnectionAge, defaultConnectionAge)
	settings.Connections = cmp.Or(settings.Connections, defaultConnections)
	if settings.Dial == nil {
		settings.Dial = (&net.Dialer{}).DialContext
	}
	return settings
}
