package weights

import (
	"cmp"
	"time"
)

// The bounds of the duration of an adapter transfer at full speed, and the number of steps of a transfer; its speed
// is determined anew for each step.
const (
	adapterFastest = 5 * time.Millisecond
	adapterSlowest = 14 * time.Millisecond
	steps          = 8
)

// Settings holds the limits of the store. The zero value of a field means its default.
type Settings struct {
	// LoadsPerSecond is the rate of loads that the store allows; zero means 2.6.
	LoadsPerSecond float64
	// LoadsAtOnce is the maximum number of concurrent loads at full speed; zero means 4.
	LoadsAtOnce int
	// AdaptersAtOnce is the maximum number of concurrent adapter transfers at full speed; zero means 32.
	AdaptersAtOnce int
	// BytesPerSecond is the speed of one load without contention; zero means 4 GiB/s.
	BytesPerSecond int64
}

func (settings Settings) withDefaults() Settings {
	settings.LoadsPerSecond = cmp.Or(settings.LoadsPerSecond, 2.6)
	settings.LoadsAtOnce = cmp.Or(settings.LoadsAtOnce, 4)
	settings.AdaptersAtOnce = cmp.Or(settings.AdaptersAtOnce, 32)
	settings.BytesPerSecond = cmp.Or(settings.BytesPerSecond, 4<<30)
	return settings
}
