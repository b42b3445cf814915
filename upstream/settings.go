package upstream

import (
	"cmp"
	"context"
	"net"
	"time"
)

// The defaults and bounds of a Client.
const (
	defaultTimeout      = 2 * time.Second
	defaultSilenceLimit = time.Second
	defaultMaxBody      = 16 << 20
	// maxPiece is the largest line of a stream in bytes.
	maxPiece = 64 << 10
	// maxState is the largest state of an engine in bytes.
	maxState = 16 << 20
	// maxRefusal is the part of a refusal in bytes that is read.
	maxRefusal = 4 << 10
)

// ClientSettings describe the connections to one engine. The zero value of a field means its default.
type ClientSettings struct {
	// Name is the name of the upstream that must answer; empty accepts any.
	Name string
	// Address is the IP address and port.
	Address string
	// Timeout bounds an order, a state or a probe; zero means 2 s.
	Timeout time.Duration
	// StallTimeout is the time without a piece or heartbeat after which a connection is silent; zero means 1 s.
	StallTimeout time.Duration
	// DialTimeout bounds the opening of a connection; zero means 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; zero means 15 s.
	IdleTimeout time.Duration
	// ConnectionAge is the age from which a connection takes no further request; zero means 5 min.
	ConnectionAge time.Duration
	// Connections is the largest number of connections; zero means 4096.
	Connections int
	// MaxBody is the largest answer in bytes that is not streamed; zero means 16 MiB.
	MaxBody int64
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (settings ClientSettings) withDefaults() ClientSettings {
	settings.Timeout = cmp.Or(settings.Timeout, defaultTimeout)
	settings.StallTimeout = cmp.Or(settings.StallTimeout, defaultSilenceLimit)
	settings.MaxBody = cmp.Or(settings.MaxBody, defaultMaxBody)
	return settings
}
