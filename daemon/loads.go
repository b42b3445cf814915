package daemon

import (
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/upstream"
)

const (
	// assumedLoadRate is the rate of a load in bytes a second before one was measured.
	assumedLoadRate = 1 << 30
	// loadShare is the weight of a new measurement in the mean.
	loadShare = 0.2
)

// loadTimes measures loads from the weight store, by which the cost of a cold start is judged.
type loadTimes struct {
	meter *meter.Meter
	mutex sync.Mutex
	// secondsPerByte is the mean of remote loads, or zero before the first.
	secondsPerByte float64
}

// loaded takes the time of one load.
func (times *loadTimes) loaded(tier upstream.Tier, bytes int64, took time.Duration) {
	times.meter.Observe(meter.ColdStart, meter.Labels{Kind: tierName(tier)}, took)
	if tier != upstream.Remote || bytes <= 0 {
		return
	}
	times.mutex.Lock()
	defer times.mutex.Unlock()
	seen := took.Seconds() / float64(bytes)
	if times.secondsPerByte == 0 {
		times.secondsPerByte = seen
	}
	times.secondsPerByte += loadShare * (seen - times.secondsPerByte)
}

// remote returns the expected time of a load from the weight store.
func (times *loadTimes) remote(bytes int64) time.Duration {
	times.mutex.Lock()
	defer times.mutex.Unlock()
	perByte := times.secondsPerByte
	if perByte == 0 {
		perByte = 1.0 / assumedLoadRate
	}
	return time.Duration(perByte * float64(bytes) * float64(time.Second))
}

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
