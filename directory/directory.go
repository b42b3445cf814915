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

// absenceTimeout is how long a replica that lacked a model is not sent requests for it.
const absenceTimeout = 800 * time.Millisecond

// Directory records which replicas can serve which models, as one daemon knows it. It is safe for concurrent
// use. Use New.
type Directory struct {
	clock clock.PassiveClock

	mutex sync.Mutex
	// replicas maps identifiers to the replicas that accept new requests.
	replicas map[string]*topology.Replica
	// rebuilt is when all lists were last rebuilt.
	rebuilt time.Time
	// announced is the newest announcement, and placements holds the engines that it and earlier ones list.
	announced  Announcement
	placements map[topology.Incarnation]Placement
	// holderSeen is when the lease holder last confirmed the announcement.
	holderSeen time.Time
	// absent maps a model or adapter at a replica to the time at which it was found to be missing.
	absent map[demand.ReplicaKey]time.Time
	// byService maps services to their replicas, and byModel maps models to the engines that hold them.
	byService map[string][]balance.Candidate
	byModel   map[demand.Key][]modelHolder
	// listings maps the replicas in use to the models under which they are listed.
	listings map[topology.Incarnation]listing
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// modelHolder is an engine that holds a model, with the adapters of that model that it holds.
type modelHolder struct {
	balance.Candidate
	adapters []string
}

// New returns an empty directory.
func New(clk clock.PassiveClock) *Directory {
	return &Directory{
		clock:      clk,
		replicas:   map[string]*topology.Replica{},
		placements: map[topology.Incarnation]Placement{},
		absent:     map[demand.ReplicaKey]time.Time{},
		changed:    make(chan struct{}),
	}
}

// Apply applies the announcement, and reports whether it did. It does not if the announcement is not newer
// than the last one, or lists the changes since a revision that is not known.
func (directory *Directory) Apply(announcement Announcement) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if announcement.Fence == directory.announced.Fence {
		directory.holderSeen = directory.clock.Now()
	}
	if !announcement.IsNewerThan(directory.announced.Fence, directory.announced.Revision) {
		return false
	}
	if announcement.Since > 0 && (announcement.Fence != directory.announced.Fence || announcement.Since > directory.announced.Revision) {
		return false
	}
	directory.holderSeen = directory.clock.Now()
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
		directory.relist(placement.Incarnation)
	}
	directory.notifyChanged()
	return true
}

// Version returns the fencing token and revision of the newest announcement.
func (directory *Directory) Version() (fence, revision uint64) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.announced.Fence, directory.announced.Revision
}

// Loadings returns the models that are being loaded according to the newest announcement.
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

// HolderLastSeen returns when the lease holder last confirmed its announcement; zero before the first
// announcement.
func (directory *Directory) HolderLastSeen() time.Time {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.holderSeen
}

// notifyChanged wakes the goroutines that wait for a change. The caller holds the mutex.
func (directory *Directory) notifyChanged() {
	close(directory.changed)
	directory.changed = make(chan struct{})
}

// holding returns what the engine holds: the announced models, unless the row of the replica was certainly
// written after the lease holder stopped responding. The caller holds the mutex.
func (directory *Directory) holding(replica *topology.Replica) topology.Holding {
	announced, ok := directory.placements[replica.Incarnation]
	if ok && replica.MayPredate(directory.holderSeen) {
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

// Replicas returns the replicas of the service. The caller must not modify the result.
func (directory *Directory) Replicas(service string) []balance.Candidate {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.byService[service]
}

// Holders returns the replicas that hold the model, and the adapter unless key.Adapter is empty.
func (directory *Directory) Holders(key demand.Key) []balance.Candidate {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now := directory.clock.Now()
	var holders []balance.Candidate
	for _, holder := range directory.byModel[demand.Key{Service: key.Service, Model: key.Model}] {
		if key.Adapter != "" && !slices.Contains(holder.adapters, key.Adapter) {
			continue
		}
		if at, ok := directory.absent[demand.ReplicaKey{Incarnation: holder.Incarnation, Key: key}]; ok && now.Sub(at) < absenceTimeout {
			continue
		}
		holders = append(holders, holder.Candidate)
	}
	return holders
}

// MarkAbsent records that the replica lacks the model or adapter. Holders leaves it out for absenceTimeout.
func (directory *Directory) MarkAbsent(key demand.ReplicaKey) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now := directory.clock.Now()
	for old, at := range directory.absent {
		if now.Sub(at) >= absenceTimeout {
			delete(directory.absent, old)
		}
	}
	directory.absent[key] = now
}

// Forecast returns when the model or adapter is expected to be loaded, and whether that is known.
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

// HasReplicas reports whether any replica is known.
func (directory *Directory) HasReplicas() bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return len(directory.replicas) > 0
}
