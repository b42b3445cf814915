package placement

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

const (
	tierCount = 3
	// observationWeight is the weight of a new observation in the moving average.
	observationWeight = 0.2
)

// assumedRates are the rates in bytes a second that are assumed before a load was observed. They
// are the highest that the tiers reach, so that no request is refused because of an assumed load
// time.
var assumedRates = [tierCount]float64{
	upstream.Remote: 8e9,
	upstream.Disk:   16e9,
	upstream.Memory: 64e9,
}

// LoadTimes holds the learned load times by tier. The zero value uses assumed rates. It is
// immutable.
type LoadTimes struct {
	// secondsPerByte is the exponential moving average by tier; zero means that no load was
	// observed.
	secondsPerByte [tierCount]float64
}

// With returns load times that include one more load. It ignores loads without bytes, without
// duration or from an unknown tier.
func (loadTimes LoadTimes) With(tier upstream.Tier, bytes int64, took time.Duration) LoadTimes {
	if bytes <= 0 || took <= 0 || tier < 0 || int(tier) >= tierCount {
		return loadTimes
	}
	observed := took.Seconds() / float64(bytes)
	mean := loadTimes.secondsPerByte[tier]
	if mean == 0 {
		mean = observed
	}
	loadTimes.secondsPerByte[tier] = mean + observationWeight*(observed-mean)
	return loadTimes
}

// Time returns the expected time of a load.
func (loadTimes LoadTimes) Time(tier upstream.Tier, bytes int64) time.Duration {
	return time.Duration(loadTimes.perByte(tier) * float64(bytes) * float64(time.Second))
}

func (loadTimes LoadTimes) perByte(tier upstream.Tier) float64 {
	if mean := loadTimes.secondsPerByte[tier]; mean > 0 {
		return mean
	}
	return 1 / assumedRates[tier]
}
