package rollout

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Window is how long a replica that joined or left counts.
const Window = 90 * time.Second

// End is the expected end of a release.
type End struct {
	// Release is the release.
	Release string
	// At is when its last replica is expected to accept no new request.
	At time.Time
}

// Tracker knows how the replicas of releases joined and left. It is safe for concurrent use. Use New.
type Tracker struct {
	// moving is set while a release may leave; it is cheap to read.
	moving atomic.Bool

	mutex sync.Mutex
	// begun is set once replicas were observed. Those of the first observation count as having been there.
	begun bool
	// services maps services to their releases.
	services map[string]map[string]*release
}

// New returns a tracker that has observed nothing.
func New() *Tracker {
	return &Tracker{services: map[string]map[string]*release{}}
}

// Observe records the replicas that accept new requests, which must be all of them.
func (tracker *Tracker) Observe(accepting []topology.Replica, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	counts := countReleases(accepting)
	for service, releases := range counts {
		for name := range releases {
			tracker.add(service, name)
		}
	}
	moving := false
	for service, releases := range tracker.services {
		for name, known := range releases {
			known.observe(counts[service][name], tracker.begun, now)
			if known.isOver(now) {
				delete(releases, name)
			}
			moving = moving || (len(releases) > 1 && known.accepting > 0 && len(known.departures) > 0)
		}
		if len(releases) == 0 {
			delete(tracker.services, service)
		}
	}
	tracker.begun = true
	tracker.moving.Store(moving)
}

// add adds the release of a service. The mutex is held.
func (tracker *Tracker) add(service, name string) {
	if tracker.services[service] == nil {
		tracker.services[service] = map[string]*release{}
	}
	if tracker.services[service][name] == nil {
		tracker.services[service][name] = &release{}
	}
}

// countReleases returns the number of replicas by service and release.
func countReleases(replicas []topology.Replica) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for index := range replicas {
		replica := &replicas[index]
		if counts[replica.Service] == nil {
			counts[replica.Service] = map[string]int{}
		}
		counts[replica.Service][replica.Release]++
	}
	return counts
}

// Ends returns the expected ends of the releases of the service that leave, ordered by release. A service with one release has none.
func (tracker *Tracker) Ends(service string, now time.Time) []End {
	if !tracker.moving.Load() {
		return nil
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	releases := tracker.services[service]
	if len(releases) < 2 {
		return nil
	}
	var ends []End
	for name, known := range releases {
		if known.accepting > 0 && yields(known, releases, now) {
			ends = append(ends, End{name, known.end(now)})
		}
	}
	slices.SortFunc(ends, func(a, b End) int { return cmp.Compare(a.Release, b.Release) })
	return ends
}

// Accepting returns the number of replicas that accept new requests, by service and release.
func (tracker *Tracker) Accepting() map[string]map[string]int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	counts := make(map[string]map[string]int, len(tracker.services))
	for service, releases := range tracker.services {
		counts[service] = make(map[string]int, len(releases))
		for name, known := range releases {
			counts[service][name] = known.accepting
		}
	}
	return counts
}

// yields reports whether the release loses replicas while another one of its service grows.
func yields(leaving *release, releases map[string]*release, now time.Time) bool {
	last := leaving.lastDeparture(now)
	if last.IsZero() {
		return false
	}
	for _, other := range releases {
		if other != leaving && other.grows(now) && other.lastDeparture(now).Before(last) {
			return true
		}
	}
	return false
}
