package ratelimit

import (
	"slices"
	"sync"
	"time"
)

const (
	// settleTime is the time after its start for which a daemon grants nothing, because it may not know the others yet.
	settleTime = 3 * time.Second
	// memberRetention is how long a daemon that is not seen counts as cut off rather than gone.
	memberRetention = time.Minute
)

// Member is a daemon as another one sees it.
type Member struct {
	// Name is the name of the daemon.
	Name string
	// Leaving is set if it shuts down.
	Leaving bool
}

// Membership is what one daemon knows of all daemons, itself included. It is safe for concurrent use. Use
// NewMembership.
type Membership struct {
	name    string
	started time.Time

	mutex sync.Mutex
	// live lists the daemons that are seen and not leaving, ordered by name.
	live []string
	// seen maps daemons that are not known to leave to when they were last seen.
	seen map[string]time.Time
}

// NewMembership returns the membership of a daemon that starts now and sees only itself.
func NewMembership(name string, now time.Time) *Membership {
	return &Membership{name: name, started: now, live: []string{name}, seen: map[string]time.Time{name: now}}
}

// Observe replaces the daemons that are seen. others does not list this daemon; leaving states that this one shuts down.
func (membership *Membership) Observe(others []Member, leaving bool, now time.Time) {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	membership.live = membership.live[:0]
	for _, member := range append([]Member{{Name: membership.name, Leaving: leaving}}, others...) {
		if member.Leaving {
			delete(membership.seen, member.Name)
			continue
		}
		membership.seen[member.Name] = now
		membership.live = append(membership.live, member.Name)
	}
	slices.Sort(membership.live)
	for name, at := range membership.seen {
		if now.Sub(at) > memberRetention {
			delete(membership.seen, name)
		}
	}
}

// Live returns the daemons that are seen and not leaving, ordered by name.
func (membership *Membership) Live() []string {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	return slices.Clone(membership.live)
}

// Seen returns the number of daemons that were seen within memberRetention and are not known to leave.
func (membership *Membership) Seen() int {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	return max(len(membership.seen), 1)
}

// Share returns the share of the limit of the key that this daemon may grant; zero if another one must be asked. It
// is smaller while daemons are out of sight, since these may have a grantor of their own.
func (membership *Membership) Share(key string, now time.Time) float64 {
	if now.Sub(membership.started) < settleTime {
		return 0
	}
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	reachable := float64(len(membership.live)) / float64(max(len(membership.seen), 1))
	return shareOf(membership.name, membership.live, key) * min(reachable, 1)
}
