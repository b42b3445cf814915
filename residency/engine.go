package residency

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Engine is the state of one engine as known to the holder of the lease.
type Engine struct {
	topology.Incarnation
	// Address is the IP address and port.
	Address string
	// Zone is the data centre.
	Zone string
	// Holding is the content of the engine. Its Orders field is the number of orders that the engine accepted.
	Holding topology.Holding
	// Busy is set while an order is in progress or its outcome is unknown, so that no other may be sent.
	Busy bool
	// Loading is the model being loaded, or empty, and LoadingTier the tier that its weights come from.
	Loading     string
	LoadingTier Tier
	// ReadyAt is the expected end of the load in progress.
	ReadyAt time.Time
	// ReservedFor is the model for which memory was freed or is being freed, or empty.
	ReservedFor string
	// Unloading is the model that an order in flight, or of unknown outcome, unloads; it is empty if there is none.
	Unloading string
	// Speed is the speed of the engine relative to the mean of the service; zero means 1.
	Speed float64
	// Limit is the number of requests per second that the engine accepts from all daemons together; zero if it named none.
	Limit float64
	// Running maps models to their requests in flight on the engine, from all daemons.
	Running map[string]int
	// AdaptersRunning maps adapters, as model/adapter, to their requests in flight.
	AdaptersRunning map[string]int
	// LoadedAt maps models to the end of their load; models that were loaded before the engine was known are missing.
	LoadedAt map[string]time.Time
}

// used returns the accelerator memory in use in bytes, including a model being loaded.
func (engine *Engine) used(models map[string]topology.Model) int64 {
	used := int64(0)
	for _, loaded := range engine.Holding.Models {
		model := models[loaded.Model]
		used += model.Weights + int64(len(loaded.Adapters))*model.AdapterBytes
	}
	if engine.Loading != "" {
		if _, present := engine.Holding.Find(engine.Loading); !present {
			used += models[engine.Loading].Weights
		}
	}
	return used
}
