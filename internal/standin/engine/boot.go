package engine

import (
	"context"
	"fmt"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// boot is what one life of the engine knows. The lock of the server guards it.
type boot struct {
	id string
	// ctx ends with the boot.
	ctx    context.Context
	cancel context.CancelFunc
	// back is the time from which the boot answers.
	back     time.Time
	sequence uint64
	fence    uint64
	role     upstream.Role
	replicas map[string]*replica
	loading  int
	// orders holds the verdict of every order done.
	orders map[string]upstream.Verdict
	jobs   map[string]*job
	memory tier
	loads  map[string]load
	events []cacheEvent
	// cached holds the prompt prefixes, from the least to the most recently used.
	cached []prefix
}

// load is a load report with its time.
type load struct {
	taken            time.Time
	running, waiting int
}

func (server *Server) newBoot(back time.Time) *boot {
	server.boots++
	ctx, cancel := context.WithCancel(context.Background())
	return &boot{
		id:       fmt.Sprintf("%s-%d-%d", server.settings.Name, server.clock.Now().UnixNano(), server.boots),
		ctx:      ctx,
		cancel:   cancel,
		back:     back,
		role:     upstream.Mixed,
		replicas: map[string]*replica{},
		orders:   map[string]upstream.Verdict{},
		jobs:     map[string]*job{},
		memory:   tier{capacity: server.settings.MemoryTier},
		loads:    map[string]load{},
	}
}

// used returns the accelerator memory in use in bytes.
func (b *boot) used() int64 {
	var sum int64
	for _, r := range b.replicas {
		sum += r.memory
	}
	return sum
}

// find returns a ready replica of the model; an empty version means any.
func (b *boot) find(model, version string) *replica {
	if version != "" {
		return ready(b.replicas[upstream.CheckpointKey(model, version)])
	}
	for _, r := range b.replicas {
		if r.model == model && ready(r) != nil {
			return r
		}
	}
	return nil
}

func ready(r *replica) *replica {
	if r == nil || r.phase != upstream.Ready {
		return nil
	}
	return r
}
