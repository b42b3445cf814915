package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkCompare measures the comparison of 600 replicas, which the holder of the lease makes at most once in refreshInterval.
func BenchmarkCompare(b *testing.B) {
	random, estimator, now := rand.New(rand.NewPCG(1, 2)), NewEstimator(), start
	for number := range 600 {
		observe(estimator, random, number, 1, 0.1, now)
	}
	for b.Loop() {
		now = now.Add(refreshInterval / 1000)
		estimator.refreshed = time.Time{}
		estimator.Values(now)
	}
}
