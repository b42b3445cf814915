package connection

import (
	"cmp"
	"context"
	"net"
	"time"
)

// The defaults of Settings.
const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultIdleTimeout = time.Second
	defaultUserTimeout = 3 * time.Second
	defaultMaxIdle     = 64
	defaultHeadBytes   = 32 << 10
)

// Observer is told which upstreams a pool reaches. Its methods must not block.
type Observer interface {
	// Reached is called when a connection under the key was opened, and for each response.
	Reached(key string)
	// Lost is called when a connection under the key could not be opened. begun is when the attempt began.
	Lost(key string, begun time.Time)
}

// noObserver ignores what it is told.
type noObserver struct{}

func (noObserver) Reached(string)         {}
func (noObserver) Lost(string, time.Time) {}

// Settings bounds the connections of a Pool. The zero value of a field means its default.
type Settings struct {
	// DialTimeout bounds the opening of a connection; zero means 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept at most; zero means 1 s. A shorter timeout that the
	// upstream states takes precedence.
	IdleTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged; zero means 3 s.
	UserTimeout time.Duration
	// MaxIdle is the number of unused connections that are kept for one key; zero means 64.
	MaxIdle int
	// HeadBytes bounds the status line and headers of a response in bytes; zero means 32 KiB.
	HeadBytes int64
	// Observer is told which upstreams are reached; nil means none.
	Observer Observer
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (settings Settings) withDefaults() Settings {
	settings.DialTimeout = cmp.Or(settings.DialTimeout, defaultDialTimeout)
	settings.IdleTimeout = cmp.Or(settings.IdleTimeout, defaultIdleTimeout)
	settings.UserTimeout = cmp.Or(settings.UserTimeout, defaultUserTimeout)
	settings.MaxIdle = cmp.Or(settings.MaxIdle, defaultMaxIdle)
	settings.HeadBytes = cmp.Or(settings.HeadBytes, defaultHeadBytes)
	if settings.Observer == nil {
		settings.Observer = noObserver{}
	}
	if settings.Dial == nil {
		settings.Dial = dialer(settings.UserTimeout)
	}
	return settings
}
