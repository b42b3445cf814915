package soak

import (
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkControl runs four idle daemons for a minute of simulated time per operation. The time of an operation divided
// by four minutes is the share of a core that control tasks cost a daemon, with its share of the stand-ins.
func BenchmarkControl(b *testing.B) {
	synctest.Test(&testing.T{}, func(t *testing.T) {
		testbed := newTestbed(t, 2)
		defer testbed.close()
		time.Sleep(20 * time.Second)
		if err := testbed.apply(firstNote); err != nil {
			b.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		b.ReportAllocs()
		for b.Loop() {
			time.Sleep(time.Minute)
		}
	})
}
