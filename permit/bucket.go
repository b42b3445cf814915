package permit

import "time"

// Bucket limits the starts of loads in one data centre to its part of the shared rate. Each
// slot carries an equal part of the rate and one start of burst. It belongs to one goroutine.
type Bucket struct {
	// perSlot is the rate of one slot in starts a second.
	perSlot float64
	// tokens is the number of starts now; it is at most the number of slots.
	tokens float64
	slots  int
	last   time.Time
}

// NewBucket returns a bucket for a limit of rate starts a second divided over total slots.
func NewBucket(rate float64, total int) *Bucket {
	return &Bucket{perSlot: rate / float64(max(total, 1))}
}

// SetSlots sets the number of slots. A slot that comes brings no token, since its former holder
// may just have spent it; a slot that goes takes one.
func (bucket *Bucket) SetSlots(slots int, now time.Time) {
	bucket.refill(now)
	bucket.slots = slots
	bucket.tokens = min(bucket.tokens, float64(slots))
}

// Free returns how many loads may start now while busy slots are in use.
func (bucket *Bucket) Available(busy int, now time.Time) int {
	bucket.refill(now)
	return max(0, min(bucket.slots-busy, int(bucket.tokens)))
}

// Start spends one token.
func (bucket *Bucket) Start(now time.Time) {
	bucket.refill(now)
	bucket.tokens--
}

// Wait returns the time until one more load may start as far as the rate goes.
func (bucket *Bucket) Wait(now time.Time) time.Duration {
	bucket.refill(now)
	rate := bucket.perSlot * float64(bucket.slots)
	if bucket.tokens >= 1 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - bucket.tokens) / rate * float64(time.Second))
}

func (bucket *Bucket) refill(now time.Time) {
	if bucket.last.IsZero() {
		bucket.last = now
		return
	}
	elapsed := now.Sub(bucket.last).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.last = now
	bucket.tokens = min(float64(bucket.slots), bucket.tokens+elapsed*bucket.perSlot*float64(bucket.slots))
}
