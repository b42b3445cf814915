package decider

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

const (
	outageModels = 50
	outageStep   = 500 * time.Millisecond
	// outagePatience is how long a request waits for a replica.
	outagePatience = 30 * time.Second
	outageEvery    = 20 * time.Second
	outageSeed     = 5
)

// BenchmarkOutage counts the cold starts that are served in an hour without the table service, by
// kind of engines, share of the budget and models in use before it.
func BenchmarkOutage(b *testing.B) {
	for _, kind := range []kind{kinds[0], kinds[2]} {
		for _, share := range []float64{-1, 0.25, 0.5, 0.9} {
			for _, used := range []int{0, 12, 15, 16} {
				b.Run(fmt.Sprintf("%s/share=%v/used=%d", kind.name, share, used), func(b *testing.B) {
					for b.Loop() {
						measureOutage(b, kind, share, used)
					}
				})
			}
		}
	}
}

func measureOutage(b *testing.B, kind kind, share float64, used int) {
	b.Helper()
	world := newWorld(b, kind, 4, 80*gigabyte)
	world.budgetShare = share
	for i := range outageModels {
		world.addModel(catalogue.Model{Name: fmt.Sprintf("model-%02d", i), Version: "1", Weights: 20 * gigabyte})
	}
	process := world.start("entry-1")
	for i := range used {
		world.wanted[fmt.Sprintf("model-%02d", i)] = 1
	}
	world.advance(time.Minute)
	world.platform.SetDown(true)
	random := rand.New(rand.NewPCG(outageSeed, 1))
	warm, served, refused := 0, 0, 0
	for passed := time.Duration(0); passed < time.Hour; passed += outageEvery {
		name := fmt.Sprintf("model-%02d", random.IntN(outageModels))
		wasReady := world.ready(name)
		isReady := world.waitFor(process, name)
		switch {
		case wasReady:
			warm++
		case isReady:
			served++
		default:
			refused++
		}
	}
	b.ReportMetric(float64(warm), "warm")
	b.ReportMetric(float64(served), "cold-served")
	b.ReportMetric(float64(refused), "refused")
	world.judge()
}

// waitFor asks for a model until it serves or the patience ends, and lets the interval pass.
func (world *world) waitFor(process *process, name string) bool {
	isReady := false
	for passed := time.Duration(0); passed < outagePatience && !isReady; passed += outageStep {
		world.ask(name, 1, 1)
		world.fake.Step(outageStep)
		process.run()
		isReady = world.ready(name)
	}
	for passed := time.Duration(0); passed < outageEvery; passed += outageStep {
		world.fake.Step(outageStep)
		process.run()
	}
	return isReady
}
