package residency

import "time"

const (
	// slowLoad is the ratio of the time of a load to its time at full speed from which the weight store
	// counts as overloaded, and quickLoad that up to which it does not.
	slowLoad  = 1.25
	quickLoad = 1.1
	// mostAtOnce bounds the loads at once.
	mostAtOnce = 16
)

// StoreLimit learns how many loads the weight store serves at full speed. The zero value knows nothing.
type StoreLimit struct {
	// value is the limit, or zero before the first observation.
	value int
}

// Observe takes a load that took some time instead of the time at full speed, with a number of loads at
// once including it, and returns the limit learnt.
func (limit StoreLimit) Observe(took, full time.Duration, atOnce int) StoreLimit {
	if full <= 0 || atOnce <= 0 {
		return limit
	}
	ratio := took.Seconds() / full.Seconds()
	switch {
	case ratio >= slowLoad:
		limit.value = max(int(float64(atOnce)/ratio+0.5), 1)
	case ratio <= quickLoad && atOnce >= limit.value && limit.value > 0:
		limit.value = min(limit.value+1, mostAtOnce)
	}
	return limit
}

// Value returns the limit, or zero if it is not known.
func (limit StoreLimit) Value() int {
	return limit.value
}
