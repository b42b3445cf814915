package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// boot is the state of the engine between two starts. The mutex of the server guards it.
type boot struct {
	id string
	// ctx is cancelled when the boot ends.
	ctx    context.Context
	cancel context.CancelFunc
	// readyAt is the time from which the engine accepts requests.
	readyAt  time.Time
	sequence uint64
	fence    uint64
	role     upstream.Role
	replicas map[string]*replica
	loading  int
	// orders holds the verdict of each executed order by its identifier.
	orders      map[string]upstream.Verdict
	jobs        map[string]*job
	memory      tier
	loadReports map[string]loadReport
	events      []cacheEvent
	// cachedPrefixes holds the prompt prefixes from the least to the most recently used.
	cachedPrefixes []prefix
}

// loadReport is the load of one replica at a time.
type loadReport struct {
	takenAt          time.Time
	running, waiting int
}

func (server *Server) newBoot(readyAt time.Time) *boot {
	server.boots++
	ctx, cancel := context.WithCancel(context.Background())
	return &boot{
		id:          fmt.Sprintf("%s-%d-%d", server.settings.Name, server.clock.Now().UnixNano(), server.boots),
		ctx:         ctx,
		cancel:      cancel,
		readyAt:     readyAt,
		role:        upstream.Mixed,
		replicas:    map[string]*replica{},
		orders:      map[string]upstream.Verdict{},
		jobs:        map[string]*job{},
		memory:      tier{capacity: server.settings.MemoryTier},
		loadReports: map[string]loadReport{},
	}
}

// usedMemory returns the accelerator memory in use in bytes.
func (b *boot) usedMemory() int64 {
	var sum int64
	for _, r := range b.replicas {
		sum += r.memory
	}
	return sum
}

// find returns a ready replica of the model, or nil. An empty version matches any version.
func (b *boot) find(model, version string) *replica {
	if version != "" {
		return ifReady(b.replicas[upstream.CheckpointKey(model, version)])
	}
	for _, r := range b.replicas {
		if r.model == model && ifReady(r) != nil {
			return r
		}
	}
	return nil
}

func ifReady(r *replica) *replica {
	if r == nil || r.phase != upstream.Ready {
		return nil
	}
	return r
}
