package soak

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestCrashRequestAcrossDaemons sends a request that crashes engines again and again through all daemons.
func TestCrashRequestAcrossDaemons(t *testing.T) {
	for _, test := range []struct {
		name string
		// between is done between the first and the second round of sendings.
		between func(world *world)
	}{
		{"no fault", func(*world) {}},
		{"daemon of a data centre replaced", func(world *world) { world.replace(world.entries[3]) }},
		{"daemon of a data centre killed", func(world *world) { world.kill(world.entries[3], 10*time.Second) }},
		{"engines reclaimed", func(world *world) {
			world.reclaim("engine-west-0", true)
			world.reclaim("engine-north-0", false)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := settled(t)
				defer world.close()
				judge := newJudge(world)
				for range 2 {
					world.sendCrashesAtOnce(1, "CRASH-THE-ENGINE now")
					test.between(world)
					time.Sleep(20 * time.Second)
				}
				for _, breach := range judge.finish() {
					t.Error(breach)
				}
			})
		})
	}
}
