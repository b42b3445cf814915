package pacesim

import (
	"testing"
	"time"
)

// TestPaceOfReplicas guards against replicas that differ in speed being loaded unevenly, against late pauses, and against floods of
// replicas that start or recover.
func TestPaceOfReplicas(t *testing.T) {
	// The bounds are on the busiest replica, on late pauses and failures as parts of those without the pace, and on the time until the
	// first replica carries its share.
	bounds := map[string]struct {
		busiest, pauses, failed float64
		carried                 time.Duration
	}{
		"speeds 0.6 to 1.6":              {1.25, 0.5, 1, 5 * time.Second},
		"one speed":                      {1.15, 1.2, 1, 5 * time.Second},
		"one of eight slow for 5 s":      {1.15, 1.2, 1, 5 * time.Second},
		"all back at once under a burst": {1.15, 1.2, 1.1, 5 * time.Second},
		"fails above 6 streams":          {1.25, 1.2, 0.5, 5 * time.Second},
		"crashes, recovers after 3 s":    {1.15, 1.8, 0.4, 8 * time.Second},
	}
	for _, compared := range Compare() {
		bound, ok := bounds[compared.Name]
		today, paced := compared.Today, compared.Paced
		t.Logf("%-32s today %+v", compared.Name, today)
		t.Logf("%-32s pace  %+v", "", paced)
		if !ok || paced.Busiest > bound.busiest || paced.LatePauses > bound.pauses*today.LatePauses || paced.Failed > bound.failed*today.Failed || paced.Carried > bound.carried {
			t.Errorf("%s: the bounds %+v do not hold", compared.Name, bound)
		}
	}
}
