package enginefake

import (
	"slices"

	"github.com/bronzestall/bronzestall/upstream"
)

// Overcommits returns the number of loads that exceeded the capacity.
func (engine *Engine) Overcommits() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.overcommits
}

// UsedMemory returns the accelerator memory in bytes that the replicas occupy.
func (engine *Engine) UsedMemory() int64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.finishDue()
	return engine.usedMemory()
}

// LoadedReplicas returns the number of replicas of a model version that are loading or ready. An engine that
// is leaving counts none, since its replicas are to be replaced.
func (engine *Engine) LoadedReplicas(model, version string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.finishDue()
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

// SentOrders returns the orders with the verb that were sent to the engine, in order, including lost ones.
func (engine *Engine) SentOrders(verb upstream.Verb) []upstream.Order {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(engine.sent), func(order upstream.Order) bool { return order.Verb != verb })
}

// SetLoad sets the number of running requests that the replicas of a model report.
func (engine *Engine) SetLoad(model string, running int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for _, replica := range engine.replicas {
		if replica.Model == model {
			replica.Running = running
		}
	}
}

// SetCheckpoint sets the fastest tier that holds a checkpoint.
func (engine *Engine) SetCheckpoint(model, version string, tier upstream.Tier) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.checkpoints[upstream.CheckpointKey(model, version)] = tier
}

// Replicas returns the replicas as the engine holds them, for the messages of failed tests.
func (engine *Engine) Replicas() []upstream.Replica {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	var replicas []upstream.Replica
	for _, replica := range engine.replicas {
		replicas = append(replicas, replica.Replica)
	}
	return replicas
}
