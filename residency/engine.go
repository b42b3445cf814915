package residency

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Engine is one engine as the holder of the lease knows it.
type Engine struct {
	topology.Incarnation
	// Address is its IP address and port.
	Address string
	// Zone is its data centre.
	Zone string
	// Holding is what it has loaded; Orders is the number of orders that it accepted.
	Holding topology.Holding
	// Busy states that an order is being carried out or in doubt, so that no other may be sent.
	Busy bool
	// Loading is the model on its way, or empty, and LoadingTier where its weights come from.
	Loading     string
	LoadingTier Tier
	// ReadyAt is when the model on its way is expected to be loaded.
	ReadyAt time.Time
	// ReservedFor is the model for which room was made, or empty.
	ReservedFor string
	// Running maps models to the requests in flight on the engine from all daemons.
	Running map[string]int
	// AdaptersRunning maps adapters, as model/adapter, to the requests in flight.
	AdaptersRunning map[string]int
	// LoadedAt maps models to when they were loaded; models that were there before are missing.
	LoadedAt map[string]time.Time
}

// used returns the accelerator memory in use in bytes, including a model on its way.
func (engine *Engine) used(models map[string]topology.Model) int64 {
	used := int64(0)
	for _, loaded := range engine.Holding.Models {
		model := models[loaded.Model]
		used += model.Weights + int64(len(loaded.Adapters))*model.AdapterBytes
	}
	if engine.Loading != "" {
		if _, there := engine.Holding.Find(engine.Loading); !there {
			used += models[engine.Loading].Weights
		}
	}
	return used
}
