package rollout

import (
	"cmp"
	"maps"
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

// Shift is a change in the number of replicas of a release whose service has, or lately had, another one.
type Shift struct {
	// Service and Release name the release.
	Service, Release string
	// Before and Accepting are the former and the present number of replicas that accept new requests.
	Before, Accepting int
	// Leaves states that the release gives way to another one.
	Leaves bool
}

// Observe records the replicas that accept new requests, which must be all of them, and returns what shifted, in no certain order.
func (tracker *Tracker) Observe(accepting []topology.Replica, now time.Time) []Shift {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	counts := countReleases(accepting)
	for service, releases := range counts {
		for name := range releases {
			tracker.add(service, name)
		}
	}
	moving := false
	var shifts []Shift
	for service, releases := range tracker.services {
		shifted := observe(releases, counts[service], tracker.begun, now)
		if len(releases) > 1 {
			for _, shift := range shifted {
				shift.Service = service
				shifts = append(shifts, shift)
			}
		}
		maps.DeleteFunc(releases, func(_ string, known *release) bool { return known.isOver(now) })
		if len(releases) == 0 {
			delete(tracker.services, service)
		}
		moving = moving || mayLeave(releases)
	}
	tracker.begun = true
	tracker.moving.Store(moving)
	return shifts
}

// observe records the numbers of replicas of the releases of one service, and returns the changes, without the service.
func observe(releases map[string]*release, counts map[string]int, begun bool, now time.Time) []Shift {
	var shifts []Shift
	for name, known := range releases {
		before := known.accepting
		known.observe(counts[name], begun, now)
		if begun && known.accepting != before {
			shifts = append(shifts, Shift{Release: name, Before: before, Accepting: known.accepting})
		}
	}
	heir, ok := findHeir(releases, now)
	for index := range shifts {
		shifts[index].Leaves = ok && releases[shifts[index].Release].yieldsTo(heir, now)
	}
	return shifts
}

// mayLeave reports whether one of several releases lost replicas.
func mayLeave(releases map[string]*release) bool {
	for _, known := range releases {
		if len(releases) > 1 && len(known.departures) > 0 {
			return true
		}
	}
	return false
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

// unnamed stands for the releases of all replicas that name none. A stream that begins at one of them can go on at no other.
const unnamed = ""

// countReleases returns the number of replicas by service and release.
func countReleases(replicas []topology.Replica) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for begin := 0; begin < len(replicas); {
		first, end := &replicas[begin], begin+1
		for end < len(replicas) && replicas[end].Service == first.Service && replicas[end].Release == first.Release {
			end++
		}
		if counts[first.Service] == nil {
			counts[first.Service] = map[string]int{}
		}
		name := first.Release
		if !topology.IsReleaseName(name) {
			name = unnamed
		}
		counts[first.Service][name] += end - begin
		begin = end
	}
	return counts
}

// Ends returns the expected ends of the releases of the service that leave or have left within Window, ordered by release. One that has
// left is named too, since a caller may have listed its last replica before. A service with one release has none.
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
	heir, ok := findHeir(releases, now)
	if !ok {
		return nil
	}
	var ends []End
	for name, known := range releases {
		if name != unnamed && known.yieldsTo(heir, now) {
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

// findHeir returns the growing release that lost no replica for the longest time, or false if none grows.
func findHeir(releases map[string]*release, now time.Time) (*release, bool) {
	var heir *release
	for name, known := range releases {
		if name == unnamed || !known.grows(now) {
			continue
		}
		if heir == nil || known.lastDeparture(now).Before(heir.lastDeparture(now)) {
			heir = known
		}
	}
	return heir, heir != nil
}
