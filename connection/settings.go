package connection

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/bronzestall/bronzestall/reach"
)

// The defaults of Settings.
const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultIdleTimeout = time.Second
	defaultRestTimeout = time.Minute
	defaultUserTimeout = 3 * time.Second
	defaultMaxIdle     = 64
	defaultHeadBytes   = 32 << 10
)

// Observer is told which upstreams a pool reaches. Its methods must not block.
type Observer interface {
	// Began is called when a call under the key begins to wait for its response, and Ended when it waits no more, with the same time.
	Began(key string, begun time.Time)
	Ended(key string, begun time.Time)
	// Reached is called when bytes of a response under the key came. Those of a body are reported once in proofInterval and connection.
	Reached(key string)
	// Failed is called when a connection under the key could not be opened, or yielded nothing. begun is when the attempt began.
	Failed(key string, failure reach.Failure, begun time.Time)
}

// proofInterval is the least time between two reports of bytes of one body.
const proofInterval = 50 * time.Millisecond

// noObserver ignores what it is told.
type noObserver struct{}

func (noObserver) Began(string, time.Time)                 {}
func (noObserver) Ended(string, time.Time)                 {}
func (noObserver) Reached(string)                          {}
func (noObserver) Failed(string, reach.Failure, time.Time) {}

// Settings bounds the connections of a Pool. The zero value of a field means its default.
type Settings struct {
	// DialTimeout bounds the opening of a connection; zero means 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept at most; zero means 1 s. A shorter timeout that the
	// upstream states takes precedence.
	IdleTimeout time.Duration
	// RestTimeout is how long the unused connections of a key that may rest (see SetClients) are kept at most, in place of IdleTimeout;
	// zero means one minute. A shorter timeout that the upstream states takes precedence.
	RestTimeout time.Duration
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
	settings.RestTimeout = max(cmp.Or(settings.RestTimeout, defaultRestTimeout), settings.IdleTimeout)
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
