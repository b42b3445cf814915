package keepwarm

import "time"

// Never holds no model.
type Never struct{}

// Describe does nothing.
func (Never) Describe(string, Properties) {}

// Forget does nothing.
func (Never) Forget(string) {}

// Observe does nothing.
func (Never) Observe(string, time.Time, int) {}

// Wanted returns zero.
func (Never) Wanted(string, time.Time) int { return 0 }

// Next returns the zero time.
func (Never) Next(string, time.Time) time.Time { return time.Time{} }

// Always holds one replica of every model.
type Always struct{}

// Describe does nothing.
func (Always) Describe(string, Properties) {}

// Forget does nothing.
func (Always) Forget(string) {}

// Observe does nothing.
func (Always) Observe(string, time.Time, int) {}

// Wanted returns one.
func (Always) Wanted(string, time.Time) int { return 1 }

// Next returns the zero time.
func (Always) Next(string, time.Time) time.Time { return time.Time{} }

// Fixed holds one replica of a model for a fixed time after its last arrival. Use NewFixed.
type Fixed struct {
	// timeout is how long a replica is held.
	timeout time.Duration
	// last holds the time of the last arrival.
	last map[string]time.Time
}

// NewFixed returns the policy with the timeout.
func NewFixed(timeout time.Duration) *Fixed {
	return &Fixed{timeout: timeout, last: map[string]time.Time{}}
}

// Describe does nothing.
func (fixed *Fixed) Describe(string, Properties) {}

// Forget drops the last arrival of the model.
func (fixed *Fixed) Forget(model string) {
	delete(fixed.last, model)
}

// Observe notes the time of the arrival.
func (fixed *Fixed) Observe(model string, now time.Time, _ int) {
	fixed.last[model] = now
}

// Wanted returns one until the timeout after the last arrival.
func (fixed *Fixed) Wanted(model string, now time.Time) int {
	last, ok := fixed.last[model]
	if !ok || now.Sub(last) >= fixed.timeout {
		return 0
	}
	return 1
}

// Next returns the end of the timeout.
func (fixed *Fixed) Next(model string, now time.Time) time.Time {
	if fixed.Wanted(model, now) == 0 {
		return time.Time{}
	}
	return fixed.last[model].Add(fixed.timeout)
}
