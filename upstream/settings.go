package upstream

import (
	"cmp"
	"context"
	"net"
	"time"
)

// The defaults and limits of a Client.
const (
	defaultTimeout        = 2 * time.Second
	defaultSilenceTimeout = time.Second
	defaultMaxBody        = 16 << 20
	// maxPieceBytes is the maximum length of a line or piece of a stream in bytes.
	maxPieceBytes = 64 << 10
	// maxStateBytes is the maximum length in bytes of an engine state or a list of cache events.
	maxStateBytes = 16 << 20
	// maxRefusalBytes is the maximum length in bytes of a refusal whose reason is read, and of other short responses.
	maxRefusalBytes = 4 << 10
)

// ClientSettings describes the connections to one engine. The zero value of a field means its default.
type ClientSettings struct {
	// Name is the name that the state of the engine must carry; if it is empty, any name is accepted.
	Name string
	// Address is the IP address and port of the engine.
	Address string
	// Timeout limits each call other than a generation; zero means 2 s.
	Timeout time.Duration
	// SilenceTimeout is the time without a piece or heartbeat after which silence is reported; zero means 1 s.
	SilenceTimeout time.Duration
	// DialTimeout limits the time to open a connection; zero means 1 s.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open; zero means 15 s.
	IdleTimeout time.Duration
	// ConnectionAge is the age after which a connection is not reused; zero means 5 min.
	ConnectionAge time.Duration
	// Connections is the maximum number of connections; zero means 4096.
	Connections int
	// MaxBody is the maximum length in bytes of a response that is not streamed; zero means 16 MiB.
	MaxBody int64
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (settings ClientSettings) withDefaults() ClientSettings {
	settings.Timeout = cmp.Or(settings.Timeout, defaultTimeout)
	settings.SilenceTimeout = cmp.Or(settings.SilenceTimeout, defaultSilenceTimeout)
	settings.MaxBody = cmp.Or(settings.MaxBody, defaultMaxBody)
	return settings
}
