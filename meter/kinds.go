package meter

import (
	"cmp"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// KindCount is the sum of a counter over all series with the same kind.
type KindCount struct {
	// Kind is the value of the label Kind.
	Kind string
	// Count is the sum.
	Count int64
}

// CountsByKind sums a counter over all labels but Kind, ordered by kind.
func (meter *Meter) CountsByKind(name Name) []KindCount {
	sums := meter.sumByKind(name)
	counts := make([]KindCount, 0, len(sums))
	for kind, count := range sums {
		counts = append(counts, KindCount{Kind: kind, Count: count})
	}
	slices.SortFunc(counts, func(a, b KindCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return counts
}

func (meter *Meter) sumByKind(name Name) map[string]int64 {
	meter.mutex.RLock()
	defer meter.mutex.RUnlock()
	sums := map[string]int64{}
	for key, entry := range meter.series {
		counter, ok := entry.metric.(metrics.Counter)
		if ok && key.name == name {
			sums[key.labels.Kind] += counter.Count()
		}
	}
	return sums
}
