package daemon

import (
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/upstream"
)

const (
	// defaultLoadRate is the rate of a load from the weight store in bytes a second until one has been
	// measured.
	defaultLoadRate = 1 << 30
	// loadSmoothing is the weight of a new measurement in the exponential moving average.
	loadSmoothing = 0.2
)

// loadTimes records the duration of loads in a metric, and estimates the time of a cold start from the loads
// from the weight store.
type loadTimes struct {
	meter *meter.Meter
	mutex sync.Mutex
	// secondsPerByte is the moving average of loads from the weight store, or zero before the first.
	secondsPerByte float64
}

// record adds the duration of one load of the given size. Only loads from the weight store change the estimate.
func (times *loadTimes) record(tier upstream.Tier, bytes int64, duration time.Duration) {
	times.meter.Observe(meter.ColdStart, meter.Labels{Kind: tierName(tier)}, duration)
	if tier != upstream.Remote || bytes <= 0 {
		return
	}
	times.mutex.Lock()
	defer times.mutex.Unlock()
	measured := duration.Seconds() / float64(bytes)
	if times.secondsPerByte == 0 {
		times.secondsPerByte = measured
	}
	times.secondsPerByte += loadSmoothing * (measured - times.secondsPerByte)
}

// expectRemote returns the expected time of a load from the weight store.
func (times *loadTimes) expectRemote(bytes int64) time.Duration {
	times.mutex.Lock()
	defer times.mutex.Unlock()
	perByte := times.secondsPerByte
	if perByte == 0 {
		perByte = 1.0 / defaultLoadRate
	}
	return time.Duration(perByte * float64(bytes) * float64(time.Second))
}

// tierName returns the tier as a label of metrics.
func tierName(tier upstream.Tier) string {
	switch tier {
	case upstream.Memory:
		return "memory"
	case upstream.Disk:
		return "disk"
	default:
		return "remote"
	}
}
