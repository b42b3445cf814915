package replay

import (
	"slices"

	"github.com/bronzestall/bronzestall/internal/arrivals"
)

// Sizes of the caches for checkpoints over all upstreams, in bytes.
const (
	memoryCache = 160 << 30
	diskCache   = 700 << 30
)

// Tiers of arrivals.Model.Load.
const (
	remoteTier = iota
	diskTier
	memoryTier
)

// tiers tells where checkpoints are, by the order in which they were used last.
type tiers struct {
	models []arrivals.Model
	// recent holds the models from the one that was used last.
	recent []int
}

// use makes the model the one that was used last.
func (tiers *tiers) use(model int) {
	if place := slices.Index(tiers.recent, model); place >= 0 {
		tiers.recent = slices.Delete(tiers.recent, place, place+1)
	}
	tiers.recent = slices.Insert(tiers.recent, 0, model)
}

// of returns the tier of the model.
func (tiers *tiers) of(model int) int {
	var bytes int64
	for _, recent := range tiers.recent {
		bytes += tiers.models[recent].Weights
		if recent != model {
			continue
		}
		switch {
		case bytes <= memoryCache:
			return memoryTier
		case bytes <= diskCache:
			return diskTier
		default:
			return remoteTier
		}
	}
	return remoteTier
}
