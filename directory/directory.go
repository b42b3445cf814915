package directory

import (
	"slices"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// absentFor is how long a replica that lacked a model is not asked for it, unless it accepts an order.
const absentFor = 800 * time.Millisecond

// descriptionLag is the age that a replica's description may have when it is received.
const descriptionLag = 2500 * time.Millisecond

// Directory is what a daemon knows of replicas. It is safe for concurrent use. Use New.
type Directory struct {
	clock clock.PassiveClock

	mutex sync.Mutex
	// held maps identifiers to the replicas that take new requests.
	held map[string]*topology.Replica
	// rebuilt is when all lists were last made anew.
	rebuilt time.Time
	// announced is the newest announcement, and placements its engines.
	announced  Announcement
	placements map[topology.Incarnation]Placement
	// heard is when the holder of the lease last confirmed the announcement.
	heard time.Time
	// absent tells when a place was found to lack its model or adapter.
	absent map[demand.ReplicaKey]time.Time
	// plain maps services to replicas, and engines does so for models with the engines' holdings.
	plain   map[string][]balance.Candidate
	engines map[demand.Key][]member
	// listed maps the replicas in use to what they are listed for.
	listed map[topology.Incarnation]listing
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// member is an engine that has a model, with the adapters of that model.
type member struct {
	balance.Candidate
	adapters []string
}

// New returns an empty directory.
func New(clk clock.PassiveClock) *Directory {
	return &Directory{
		clock:      clk,
		held:       map[string]*topology.Replica{},
		placements: map[topology.Incarnation]Placement{},
		absent:     map[demand.ReplicaKey]time.Time{},
		changed:    make(chan struct{}),
	}
}

// Announce takes the announcement if it is newer than the last one, and reports whether it is.
func (directory *Directory) Announce(announcement Announcement) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if announcement.Fence == directory.announced.Fence {
		directory.heard = directory.clock.Now()
	}
	if !announcement.Newer(directory.announced.Fence, directory.announced.Revision) {
		return false
	}
	if announcement.Since > 0 && (announcement.Fence != directory.announced.Fence || announcement.Since > directory.announced.Revision) {
		return false
	}
	directory.heard = directory.clock.Now()
	directory.announced = announcement
	if announcement.Since == 0 {
		directory.placements = make(map[topology.Incarnation]Placement, len(announcement.Placements))
	}
	for _, placement := range announcement.Placements {
		directory.placements[placement.Incarnation] = placement
	}
	if announcement.Since == 0 {
		directory.rebuild()
		return true
	}
	for _, placement := range announcement.Placements {
		directory.revise(placement.Incarnation)
	}
	directory.tell()
	return true
}

// Announced returns fence and revision of the newest announcement.
func (directory *Directory) Announced() (fence, revision uint64) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.announced.Fence, directory.announced.Revision
}

// Loadings returns the models that were on their way by the newest announcement.
func (directory *Directory) Loadings() map[topology.Incarnation]Loading {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	loadings := map[topology.Incarnation]Loading{}
	for incarnation, placement := range directory.placements {
		if placement.Loading.Model != "" {
			loadings[incarnation] = placement.Loading
		}
	}
	return loadings
}

// Heard returns when the holder of the lease last confirmed its announcement.
func (directory *Directory) Heard() time.Time {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.heard
}

// tell wakes who waits for a change. The mutex is held.
func (directory *Directory) tell() {
	close(directory.changed)
	directory.changed = make(chan struct{})
}

// holding returns what was announced, unless the replica described itself after the holder of the lease
// fell silent. The mutex is held.
func (directory *Directory) holding(replica *topology.Replica) topology.Holding {
	announced, ok := directory.placements[replica.Incarnation]
	if ok && replica.ReceivedAt.Sub(directory.heard) < descriptionLag {
		return announced.Holding
	}
	return replica.Holding
}

// Changed returns a channel that is closed at the next change.
func (directory *Directory) Changed() <-chan struct{} {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.changed
}

// Plain returns the replicas of a service.
func (directory *Directory) Plain(service string) []balance.Candidate {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.plain[service]
}

// Holders returns the replicas that have the model, and the adapter unless that is empty.
func (directory *Directory) Holders(key demand.Key) []balance.Candidate {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now := directory.clock.Now()
	var holders []balance.Candidate
	for _, member := range directory.engines[demand.Key{Service: key.Service, Model: key.Model}] {
		if key.Adapter != "" && !slices.Contains(member.adapters, key.Adapter) {
			continue
		}
		if at, ok := directory.absent[demand.ReplicaKey{Incarnation: member.Incarnation, Key: key}]; ok && now.Sub(at) < absentFor {
			continue
		}
		holders = append(holders, member.Candidate)
	}
	return holders
}

// Absent notes that the replica lacks the model or adapter at the moment.
func (directory *Directory) Absent(place demand.ReplicaKey) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now := directory.clock.Now()
	for old, at := range directory.absent {
		if now.Sub(at) >= absentFor {
			delete(directory.absent, old)
		}
	}
	directory.absent[place] = now
}

// Forecast returns when the key is expected to be loaded, and whether that is known.
func (directory *Directory) Forecast(key demand.Key) (time.Time, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, forecast := range directory.announced.Forecasts {
		if forecast.Key == key {
			return forecast.Ready, true
		}
	}
	return time.Time{}, false
}

// Known reports whether any replica is known.
func (directory *Directory) Known() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.held) > 0
}
