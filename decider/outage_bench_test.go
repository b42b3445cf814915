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
	// outageTimeout is how long a request waits for a replica.
	outageTimeout  = 30 * time.Second
	outageInterval = 20 * time.Second
	outageSeed     = 5
)

// BenchmarkOutage counts the cold starts that succeed in an hour without the table service, by
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
	cluster := newCluster(b, kind, 4, 80*gigabyte)
	cluster.budgetShare = share
	for i := range outageModels {
		cluster.addModel(catalogue.Model{Name: fmt.Sprintf("model-%02d", i), Version: "1", Weights: 20 * gigabyte})
	}
	process := cluster.start("entry-1")
	for i := range used {
		cluster.wanted[fmt.Sprintf("model-%02d", i)] = 1
	}
	cluster.advance(time.Minute)
	cluster.platform.SetDown(true)
	random := rand.New(rand.NewPCG(outageSeed, 1))
	warm, served, refused := 0, 0, 0
	for passed := time.Duration(0); passed < time.Hour; passed += outageInterval {
		name := fmt.Sprintf("model-%02d", random.IntN(outageModels))
		wasReady := cluster.ready(name)
		isReady := cluster.requestOnce(process, name)
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
	cluster.checkState()
}

// requestOnce requests a model until it is ready or the timeout ends, and then lets the interval
// pass.
func (cluster *cluster) requestOnce(process *process, name string) bool {
	isReady := false
	for passed := time.Duration(0); passed < outageTimeout && !isReady; passed += outageStep {
		cluster.reportDemand(name, 1, 1)
		cluster.fake.Step(outageStep)
		process.run()
		isReady = cluster.ready(name)
	}
	for passed := time.Duration(0); passed < outageInterval; passed += outageStep {
		cluster.fake.Step(outageStep)
		process.run()
	}
	return isReady
}
