package residency

import "time"

const (
	// overloadRatio is the duration of a load relative to full speed from which the weight store counts as
	// overloaded, and fullSpeedRatio that up to which it does not.
	overloadRatio  = 1.25
	fullSpeedRatio = 1.1
	// maxStoreLimit bounds the measured limit.
	maxStoreLimit = 16
)

// StoreLimit measures how many concurrent loads the weight store serves at full speed. The zero value has no
// measurement.
type StoreLimit struct {
	// value is the limit, or zero before the first measurement.
	value int
}

// Observe returns the limit after a load that took the given time instead of the time at full speed. atOnce is the
// number of concurrent loads including it. Values that are not positive are ignored.
func (limit StoreLimit) Observe(took, full time.Duration, atOnce int) StoreLimit {
	if full <= 0 || atOnce <= 0 {
		return limit
	}
	ratio := took.Seconds() / full.Seconds()
	switch {
	case ratio >= overloadRatio:
		limit.value = max(int(float64(atOnce)/ratio+0.5), 1)
	case ratio <= fullSpeedRatio && atOnce >= limit.value && limit.value > 0:
		limit.value = min(limit.value+1, maxStoreLimit)
	}
	return limit
}

// Value returns the limit, or zero if unknown.
func (limit StoreLimit) Value() int {
	return limit.value
}
