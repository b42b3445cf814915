package decider

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

// benchSeconds is the program time of one measurement.
const benchSeconds = 300

// BenchmarkTableCalls counts the calls of one data centre to the table service a second, by its
// daemons and by the time between two cold starts. Each cold start ends in an unload.
func BenchmarkTableCalls(b *testing.B) {
	for _, every := range []time.Duration{0, 25 * time.Second, 2 * time.Second} {
		for _, daemons := range []int{1, 2, 8, 24, 72} {
			b.Run(fmt.Sprintf("cold=%v/daemons=%d", every, daemons), func(b *testing.B) {
				for b.Loop() {
					measureTables(b, every, daemons)
				}
			})
		}
	}
}

func measureTables(b *testing.B, every time.Duration, daemons int) {
	b.Helper()
	world := newWorld(b, kinds[0], 12, 80*gigabyte)
	world.ranked = true
	for i := range 200 {
		name := fmt.Sprintf("model-%03d", i)
		world.addModel(catalogue.Model{Name: name, Version: "1", Weights: 20 * gigabyte})
		for _, engine := range world.engines {
			engine.SetCheckpoint(name, "1", upstream.Disk)
		}
	}
	for i := range daemons {
		world.start(fmt.Sprintf("entry-%d", i))
	}
	due := make([]time.Time, daemons)
	world.settle(10 * time.Second)
	before := world.platform.Counts()
	next, asked := 0, time.Time{}
	for range benchSeconds * 10 {
		world.fake.Step(step)
		now := world.fake.Now()
		if every > 0 && now.Sub(asked) >= every {
			asked = now
			next++
		}
		if every > 0 && now.Sub(asked) < time.Second {
			world.ask(fmt.Sprintf("model-%03d", next%200), 1, 3)
		}
		for i, process := range world.processes {
			process.runAt(&due[i])
		}
	}
	spent := world.platform.Counts().Sub(before)
	b.ReportMetric(float64(spent.Reads)/benchSeconds, "reads/s")
	b.ReportMetric(float64(spent.Writes)/benchSeconds, "writes/s")
	b.ReportMetric(float64(spent.Lists)/benchSeconds, "lists/s")
	b.ReportMetric(float64(next), "colds")
}

// settle lets the first process take the lease before the others begin.
func (world *world) settle(duration time.Duration) {
	for passed := time.Duration(0); passed < duration; passed += step {
		world.fake.Step(step)
		world.processes[0].run()
	}
}

// runAt steps the lease at the pace that it asks for.
func (process *process) runAt(due *time.Time) {
	if now := process.world.fake.Now(); !now.Before(*due) {
		_ = process.lease.Step(context.Background())
		*due = now.Add(process.lease.StepInterval())
	}
	if _, owned := process.lease.Owned(); !owned {
		return
	}
	process.look()
	_ = process.decider.Step(context.Background())
	process.decider.senders.Wait()
	process.decider.takeAll()
}
