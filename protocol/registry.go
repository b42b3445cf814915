package protocol

import (
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
)

const (
	// maxDaemons is the largest number of daemons whose versions are kept. When there are more, all are forgotten.
	maxDaemons = 4096
	// logInterval is the shortest time between two log lines about one daemon. Two daemons of one name and different builds write
	// no more.
	logInterval = time.Minute
)

// Registry keeps the version that each other daemon told last. It is safe for concurrent use. Use NewRegistry.
type Registry struct {
	clock clock.PassiveClock

	mutex sync.Mutex
	// daemons maps names to what daemons told; at most maxDaemons.
	daemons map[string]daemonVersion
}

// daemonVersion is what one daemon told.
type daemonVersion struct {
	// told is what it told last, and version how that counts.
	told    int64
	version Version
	// loggedAt is when a line about it was logged last; zero if none was.
	loggedAt time.Time
}

// NewRegistry returns a registry without daemons.
func NewRegistry(clk clock.PassiveClock) *Registry {
	return &Registry{clock: clk, daemons: map[string]daemonVersion{}}
}

// Observe records the version that a message of the daemon itself tells. It logs a daemon that differs from this build when it
// tells its first version and each other one, at most every logInterval.
func (registry *Registry) Observe(daemon string, told int64) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known, ok := registry.daemons[daemon]
	if ok && known.told == told {
		return
	}
	if !ok && len(registry.daemons) >= maxDaemons {
		clear(registry.daemons)
	}
	version, usable := Decode(told)
	known.told, known.version = told, version
	now := registry.clock.Now()
	if (version != Current || !usable) && (known.loggedAt.IsZero() || now.Sub(known.loggedAt) >= logInterval) {
		known.loggedAt = now
		event.ProtocolDiffers.Log("Daemon", daemon, "Told", told, "Own", int64(Current), "Usable", usable)
	}
	registry.daemons[daemon] = known
}

// Version returns the version that the daemon told last, or Untold if it told none.
func (registry *Registry) Version(daemon string) Version {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.daemons[daemon].version
}
