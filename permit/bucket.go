package permit

import "time"

// Bucket is a token bucket that limits the starts of loads in one data centre to its part of the shared rate.
// Each slot contributes an equal part of the rate and a burst of one start. It is not safe for concurrent use.
type Bucket struct {
	// ratePerSlot is the rate of one slot in starts per second.
	ratePerSlot float64
	// tokens is the number of starts permitted now; it is at most the number of slots.
	tokens     float64
	slots      int
	refilledAt time.Time
}

// NewBucket returns a bucket for a limit of rate starts per second divided evenly over total slots.
func NewBucket(rate float64, total int) *Bucket {
	return &Bucket{ratePerSlot: rate / float64(max(total, 1))}
}

// SetSlots sets the number of slots. An added slot adds no token, since its former holder may just have
// spent it. Tokens beyond the number of slots are removed.
func (bucket *Bucket) SetSlots(slots int, now time.Time) {
	bucket.refill(now)
	bucket.slots = slots
	bucket.tokens = min(bucket.tokens, float64(slots))
}

// Available returns the number of loads that may start now while busy slots are in use.
func (bucket *Bucket) Available(busy int, now time.Time) int {
	bucket.refill(now)
	return max(0, min(bucket.slots-busy, int(bucket.tokens)))
}

// Start spends one token.
func (bucket *Bucket) Start(now time.Time) {
	bucket.refill(now)
	bucket.tokens--
}

// Wait returns the time until the rate permits one more load to start, whether or not a slot is free. It returns
// zero without slots.
func (bucket *Bucket) Wait(now time.Time) time.Duration {
	bucket.refill(now)
	rate := bucket.ratePerSlot * float64(bucket.slots)
	if bucket.tokens >= 1 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - bucket.tokens) / rate * float64(time.Second))
}

func (bucket *Bucket) refill(now time.Time) {
	if bucket.refilledAt.IsZero() {
		bucket.refilledAt = now
		return
	}
	elapsed := now.Sub(bucket.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.refilledAt = now
	bucket.tokens = min(float64(bucket.slots), bucket.tokens+elapsed*bucket.ratePerSlot*float64(bucket.slots))
}
