package decider

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

// BenchmarkStep measures one step of a decider with 120 engines of two replicas each and demand
// for every loaded model, by idle models. A step is due each 100 ms.
func BenchmarkStep(b *testing.B) {
	for _, idle := range []int{100, 1900, 10000} {
		b.Run(fmt.Sprintf("idle=%d", idle), func(b *testing.B) {
			cluster := newCluster(b, kinds[0], 120, 80*gigabyte)
			for i := range 240 + idle {
				name := fmt.Sprintf("model-%05d", i)
				cluster.addModel(catalogue.Model{Name: name, Version: "1", Weights: 30 * gigabyte})
				if i < 240 {
					cluster.wanted[name] = 1
					for _, engine := range cluster.engines {
						engine.SetCheckpoint(name, "1", upstream.Disk)
					}
				}
			}
			process := cluster.start("entry-1")
			for range 40 {
				cluster.fake.Step(step)
				process.run()
			}
			for i := range 240 {
				cluster.reportDemand(fmt.Sprintf("model-%05d", i), 1, 1)
			}
			process.pollEngines()
			b.ReportAllocs()
			for b.Loop() {
				if err := process.decider.Step(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(process.decider.term.tracker.Entries())), "rows")
			cluster.fake.Step(time.Second)
		})
	}
}
