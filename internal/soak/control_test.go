package soak

import (
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkControl lets four daemons rest for a minute of program time. The time of an operation,
// divided by four minutes, is the share of a core that control costs a daemon, with the stand-ins.
func BenchmarkControl(b *testing.B) {
	synctest.Test(&testing.T{}, func(t *testing.T) {
		world := newWorld(t, 2)
		defer world.close()
		time.Sleep(20 * time.Second)
		if err := world.apply(firstNote); err != nil {
			b.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		b.ReportAllocs()
		for b.Loop() {
			time.Sleep(time.Minute)
		}
	})
}
