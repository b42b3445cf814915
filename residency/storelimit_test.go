package residency

import (
	"testing"
	"time"
)

// TestStoreLimitFindsTheNumberAtFullSpeed covers weight stores that slow down all loads above a given concurrency.
func TestStoreLimitFindsTheNumberAtFullSpeed(t *testing.T) {
	const full = 10 * time.Second
	for atFullSpeed := 1; atFullSpeed <= 8; atFullSpeed++ {
		limit := StoreLimit{}
		atOnce := 4
		for range 30 {
			took := full * time.Duration(max(atOnce, atFullSpeed)) / time.Duration(atFullSpeed)
			limit = limit.Observe(took, full, atOnce)
			if limit.Value() > 0 {
				atOnce = limit.Value()
			}
		}
		if atFullSpeed < 4 && (atOnce < atFullSpeed || atOnce > atFullSpeed+1) {
			t.Errorf("measured %d, the store serves %d at full speed", atOnce, atFullSpeed)
		}
	}
}
