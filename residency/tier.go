package residency

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Tier is the place that an engine loads the weights of a model from.
type Tier int

// The tiers, the fastest first.
const (
	// Host is the main memory of the engine's VM.
	Host Tier = iota
	// Disk is the disk of the engine's VM.
	Disk
	// Store is the weight store.
	Store
)

// String returns the name of the tier for logs.
func (tier Tier) String() string {
	return [...]string{"Host", "Disk", "Store"}[tier]
}

// tierOf returns the fastest tier from which the engine can load the model.
func tierOf(holding *topology.Holding, model string) Tier {
	switch {
	case slices.Contains(holding.InHost, model):
		return Host
	case slices.Contains(holding.OnDisk, model):
		return Disk
	default:
		return Store
	}
}

// Duration returns the duration of a load of the model from the tier.
func (tier Tier) Duration(model *topology.Model) time.Duration {
	switch tier {
	case Host:
		return model.HostLoad
	case Disk:
		return model.DiskLoad
	default:
		return model.StoreLoad
	}
}
