package keepwarm

import "time"

// Never is a policy that keeps no model loaded.
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

// Always is a policy that keeps one replica of every model loaded.
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

// Fixed is a policy that keeps one replica of a model loaded for a fixed time after its last arrival. Use NewFixed.
type Fixed struct {
	// timeout is how long a replica is kept.
	timeout time.Duration
	// last contains the time of the last arrival of each model.
	last map[string]time.Time
}

// NewFixed returns a policy with the given timeout.
func NewFixed(timeout time.Duration) *Fixed {
	return &Fixed{timeout: timeout, last: map[string]time.Time{}}
}

// Describe does nothing.
func (fixed *Fixed) Describe(string, Properties) {}

// Forget deletes the last arrival of the model.
func (fixed *Fixed) Forget(model string) {
	delete(fixed.last, model)
}

// Observe records the time of the arrival.
func (fixed *Fixed) Observe(model string, now time.Time, _ int) {
	fixed.last[model] = now
}

// Wanted returns one until the timeout after the last arrival, then zero.
func (fixed *Fixed) Wanted(model string, now time.Time) int {
	last, ok := fixed.last[model]
	if !ok || now.Sub(last) >= fixed.timeout {
		return 0
	}
	return 1
}

// Next returns the end of the timeout, or the zero time after it.
func (fixed *Fixed) Next(model string, now time.Time) time.Time {
	if fixed.Wanted(model, now) == 0 {
		return time.Time{}
	}
	return fixed.last[model].Add(fixed.timeout)
}
