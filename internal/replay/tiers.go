package replay

import (
	"slices"

	"github.com/bronzestall/bronzestall/internal/arrivals"
)

// Sizes of the checkpoint caches of all upstreams together, in bytes.
const (
	memoryCacheSize = 160 << 30
	diskCacheSize   = 700 << 30
)

// Indices of the tiers in arrivals.Model.Load.
const (
	remoteTier = iota
	diskTier
	memoryTier
)

// tiers determines the tier of each checkpoint from an LRU list.
type tiers struct {
	models []arrivals.Model
	// recent holds the models from the most to the least recently used.
	recent []int
}

// touch makes the model the most recently used.
func (tiers *tiers) touch(model int) {
	if index := slices.Index(tiers.recent, model); index >= 0 {
		tiers.recent = slices.Delete(tiers.recent, index, index+1)
	}
	tiers.recent = slices.Insert(tiers.recent, 0, model)
}

// tierOf returns the fastest tier that holds the checkpoint of the model.
func (tiers *tiers) tierOf(model int) int {
	var bytes int64
	for _, recent := range tiers.recent {
		bytes += tiers.models[recent].Weights
		if recent != model {
			continue
		}
		switch {
		case bytes <= memoryCacheSize:
			return memoryTier
		case bytes <= diskCacheSize:
			return diskTier
		default:
			return remoteTier
		}
	}
	return remoteTier
}
