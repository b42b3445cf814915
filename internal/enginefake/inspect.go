package enginefake

import (
	"slices"

	"github.com/bronzestall/bronzestall/upstream"
)

// Overcommits returns how many loads did not fit into the memory.
func (engine *Engine) Overcommits() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.overcommits
}

// UsedMemory returns the accelerator memory in bytes that replicas hold.
func (engine *Engine) UsedMemory() int64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.progress()
	return engine.used()
}

// LoadedReplicas returns the replicas of a model and version that load or serve, as the engine itself
// counts them. An engine that is leaving counts none, since its replicas are to be replaced.
func (engine *Engine) LoadedReplicas(model, version string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.progress()
	count := 0
	if engine.leaving {
		return count
	}
	for _, replica := range engine.replicas {
		if replica.Model == model && replica.Version == version && (replica.Phase == upstream.Loading || replica.Phase == upstream.Ready) {
			count++
		}
	}
	return count
}

// SentOrders returns the orders that reached the engine or were lost on the way, in order.
func (engine *Engine) SentOrders(verb upstream.Verb) []upstream.Order {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(engine.sent), func(order upstream.Order) bool { return order.Verb != verb })
}

// SetLoad sets the requests that a replica runs.
func (engine *Engine) SetLoad(model string, running int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for _, replica := range engine.replicas {
		if replica.Model == model {
			replica.Running = running
		}
	}
}

// SetCheckpoint sets the fastest tier that has a checkpoint.
func (engine *Engine) SetCheckpoint(model, version string, tier upstream.Tier) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.checkpoints[upstream.Checkpoint(model, version)] = tier
}

// Replicas returns the replicas as the engine itself holds them, for the message of a failed test.
func (engine *Engine) Replicas() []upstream.Replica {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	var replicas []upstream.Replica
	for _, replica := range engine.replicas {
		replicas = append(replicas, replica.Replica)
	}
	return replicas
}
