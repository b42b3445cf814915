package placement

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

const (
	tierCount = 3
	// learningShare is the weight of a new observation.
	learningShare = 0.2
)

// The rates in bytes a second that are assumed before anything was learnt. They are as high as a
// tier can be, so that no request is refused by an assumption.
var assumedRates = [tierCount]float64{
	upstream.Remote: 8e9,
	upstream.Disk:   16e9,
	upstream.Memory: 64e9,
}

// LoadTimes holds the learnt load times by tier. The zero value assumes usual rates. It is immutable.
type LoadTimes struct {
	// secondsPerByte is the mean by tier; zero means that nothing was learnt.
	secondsPerByte [tierCount]float64
}

// With returns tiers that have learnt from one load.
func (tiers LoadTimes) With(tier upstream.Tier, bytes int64, took time.Duration) LoadTimes {
	if bytes <= 0 || took <= 0 || tier < 0 || int(tier) >= tierCount {
		return tiers
	}
	seen := took.Seconds() / float64(bytes)
	mean := tiers.secondsPerByte[tier]
	if mean == 0 {
		mean = seen
	}
	tiers.secondsPerByte[tier] = mean + learningShare*(seen-mean)
	return tiers
}

// Time returns the expected time of a load.
func (tiers LoadTimes) Time(tier upstream.Tier, bytes int64) time.Duration {
	return time.Duration(tiers.perByte(tier) * float64(bytes) * float64(time.Second))
}

func (tiers LoadTimes) perByte(tier upstream.Tier) float64 {
	if mean := tiers.secondsPerByte[tier]; mean > 0 {
		return mean
	}
	return 1 / assumedRates[tier]
}
