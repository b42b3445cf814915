package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

const (
	benchUpstreams = 120
	// benchActive is the number of models that requests wait for: 7.3% of 1,900.
	benchActive = 139
)

// benchInput returns a data centre of 120 upstreams with two replicas each, a catalogue with as
// many idle models as given, and demand for the same number of models in every case.
func benchInput(idle int) Input {
	all := models{}
	for i := range idle + 2*benchUpstreams + benchActive {
		model := sized(fmt.Sprintf("model-%05d", i), 10)
		model.MaxReplicas = 2
		all[model.Name] = model
	}
	input := Input{Now: now, Models: all, FreePermits: 4}
	for u := range benchUpstreams {
		engine := newEngine(fmt.Sprintf("u%03d", u), 80,
			busy(serving(fmt.Sprintf("model-%05d", 2*u), "2", 10, 0), 3),
			serving(fmt.Sprintf("model-%05d", 2*u+1), "2", 30, 5*time.Second))
		input.Upstreams = append(input.Upstreams, engine)
	}
	for i := range benchActive {
		name := fmt.Sprintf("model-%05d", 2*benchUpstreams+i)
		input.Demands = append(input.Demands, demandFor(name, 5, time.Duration(i)*time.Second))
		input.Upstreams[i%benchUpstreams].Checkpoints = map[string]upstream.Tier{upstream.CheckpointKey(name, "2"): upstream.Disk}
	}
	for u := range benchUpstreams {
		input.WarmTargets = append(input.WarmTargets, WarmTarget{Model: fmt.Sprintf("model-%05d", 2*u+1), Replicas: 1})
	}
	input.Assign = func(catalogue.Model) Assignment { return Assignment{} }
	return input
}

// BenchmarkPass measures one pass while all active models wait for a load, by idle models.
func BenchmarkPass(b *testing.B) {
	for _, idle := range []int{100, 1900, 10000} {
		b.Run(fmt.Sprintf("idle=%d", idle), func(b *testing.B) {
			input := benchInput(idle)
			fresh := make([][]Replica, len(input.Upstreams))
			for u, engine := range input.Upstreams {
				fresh[u] = append([]Replica(nil), engine.Replicas...)
			}
			placer := NewPlacer(Settings{})
			decided := 0
			b.ReportAllocs()
			for b.Loop() {
				for u := range fresh {
					copy(input.Upstreams[u].Replicas, fresh[u])
				}
				decided = len(placer.Pass(input).Decisions)
			}
			b.ReportMetric(float64(decided), "decisions")
		})
	}
}
