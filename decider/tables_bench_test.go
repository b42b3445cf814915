package decider

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

// benchSeconds is the simulated time of one measurement.
const benchSeconds = 300

// BenchmarkTableCalls counts the calls of one data centre to the table service a second, by its
// daemons and by the time between two cold starts. Each cold start ends in an unload.
func BenchmarkTableCalls(b *testing.B) {
	for _, interval := range []time.Duration{0, 25 * time.Second, 2 * time.Second} {
		for _, daemons := range []int{1, 2, 8, 24, 72} {
			b.Run(fmt.Sprintf("cold=%v/daemons=%d", interval, daemons), func(b *testing.B) {
				for b.Loop() {
					measureTableCalls(b, interval, daemons)
				}
			})
		}
	}
}

func measureTableCalls(b *testing.B, interval time.Duration, daemons int) {
	b.Helper()
	cluster := newCluster(b, kinds[0], 12, 80*gigabyte)
	cluster.ranked = true
	for i := range 200 {
		name := fmt.Sprintf("model-%03d", i)
		cluster.addModel(catalogue.Model{Name: name, Version: "1", Weights: 20 * gigabyte})
		for _, engine := range cluster.engines {
			engine.SetCheckpoint(name, "1", upstream.Disk)
		}
	}
	for i := range daemons {
		cluster.start(fmt.Sprintf("entry-%d", i))
	}
	due := make([]time.Time, daemons)
	cluster.electFirst(10 * time.Second)
	before := cluster.platform.Counts()
	next, requestedAt := 0, time.Time{}
	for range benchSeconds * 10 {
		cluster.fake.Step(step)
		now := cluster.fake.Now()
		if interval > 0 && now.Sub(requestedAt) >= interval {
			requestedAt = now
			next++
		}
		if interval > 0 && now.Sub(requestedAt) < time.Second {
			cluster.reportDemand(fmt.Sprintf("model-%03d", next%200), 1, 3)
		}
		for i, process := range cluster.processes {
			process.runAt(&due[i])
		}
	}
	spent := cluster.platform.Counts().Sub(before)
	b.ReportMetric(float64(spent.Reads)/benchSeconds, "reads/s")
	b.ReportMetric(float64(spent.Writes)/benchSeconds, "writes/s")
	b.ReportMetric(float64(spent.Lists)/benchSeconds, "lists/s")
	b.ReportMetric(float64(next), "colds")
}

// electFirst lets the first process acquire the lease before the others begin.
func (cluster *cluster) electFirst(duration time.Duration) {
	for passed := time.Duration(0); passed < duration; passed += step {
		cluster.fake.Step(step)
		cluster.processes[0].run()
	}
}

// runAt steps the lease at the interval that it requires, and the decider of the owner.
func (process *process) runAt(due *time.Time) {
	if now := process.cluster.fake.Now(); !now.Before(*due) {
		_ = process.lease.Step(context.Background())
		*due = now.Add(process.lease.StepInterval())
	}
	if _, owned := process.lease.Owned(); !owned {
		return
	}
	process.pollEngines()
	_ = process.decider.Step(context.Background())
	process.decider.attempts.Wait()
	process.decider.handleResults()
}
