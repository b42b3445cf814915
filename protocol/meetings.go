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

// Meetings keeps the version that each other daemon told last. It is safe for concurrent use. Use NewMeetings.
type Meetings struct {
	clock clock.PassiveClock

	mutex sync.Mutex
	// daemons maps names to what daemons told; at most maxDaemons.
	daemons map[string]meeting
}

// meeting is what one daemon told.
type meeting struct {
	// told is what it told last, and version how that counts.
	told    int64
	version Version
	// loggedAt is when a line about it was logged last; zero if none was.
	loggedAt time.Time
}

// NewMeetings returns meetings with no daemon.
func NewMeetings(clk clock.PassiveClock) *Meetings {
	return &Meetings{clock: clk, daemons: map[string]meeting{}}
}

// Observe records the version that a message of the daemon itself tells. It logs a daemon that differs from this build when it is
// met first and when it tells another version, at most every logInterval.
func (meetings *Meetings) Observe(daemon string, told int64) {
	meetings.mutex.Lock()
	defer meetings.mutex.Unlock()
	known, ok := meetings.daemons[daemon]
	if ok && known.told == told {
		return
	}
	if !ok && len(meetings.daemons) >= maxDaemons {
		clear(meetings.daemons)
	}
	version, usable := Decode(told)
	known.told, known.version = told, version
	now := meetings.clock.Now()
	if (version != Current || !usable) && (known.loggedAt.IsZero() || now.Sub(known.loggedAt) >= logInterval) {
		known.loggedAt = now
		event.ProtocolDiffers.Log("Daemon", daemon, "Told", told, "Own", int64(Current), "Usable", usable)
	}
	meetings.daemons[daemon] = known
}

// Version returns the version that the daemon told last, or Untold if it told none.
func (meetings *Meetings) Version(daemon string) Version {
	meetings.mutex.Lock()
	defer meetings.mutex.Unlock()
	return meetings.daemons[daemon].version
}
