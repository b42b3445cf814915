package residency

import (
	"testing"
	"time"
)

// TestStoreLimitFindsTheNumberAtFullSpeed covers weight stores that slow all loads beyond a number at once.
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
			t.Errorf("learnt %d, the store serves %d at full speed", atOnce, atFullSpeed)
		}
	}
}
