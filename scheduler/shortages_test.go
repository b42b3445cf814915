package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/residency"
)

// TestShortagesAreCountedAndLogsBounded guards against a line for each model in each step.
func TestShortagesAreCountedAndLogsBounded(t *testing.T) {
	found := newShortages()
	for step := range 3 {
		now := epoch.Add(time.Duration(step) * 4 * time.Second)
		for model := range 100 {
			found.add("s", []residency.Shortage{{Model: fmt.Sprintf("m%d", model), Missing: 1, Cause: residency.NoRoom}}, now)
		}
		if len(found.logged) != maxShortagesLogged {
			t.Errorf("step %d: %d models have a line, want %d", step, len(found.logged), maxShortagesLogged)
		}
	}
	if found.counts[residency.NoRoom] != 300 {
		t.Errorf("counted %v, want 300", found.counts)
	}
}
