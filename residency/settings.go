package residency

import (
	"cmp"
	"time"
)

// Settings holds the limits of a planner. A zero field gets its default.
type Settings struct {
	// StoreLoadsAtOnce is the number of loads that the weight store serves at full speed; the default is 4.
	StoreLoadsAtOnce int
	// LoadWindow is the period over which the rate of loads from the weight store is limited; the default is 5 s.
	LoadWindow time.Duration
	// PrefillRate is the number of prompt tokens per second that an otherwise idle engine reads; the default is
	// 25,000.
	PrefillRate float64
}

func (settings Settings) withDefaults() Settings {
	settings.StoreLoadsAtOnce = cmp.Or(settings.StoreLoadsAtOnce, 4)
	settings.LoadWindow = cmp.Or(settings.LoadWindow, 5*time.Second)
	settings.PrefillRate = cmp.Or(settings.PrefillRate, 25_000)
	return settings
}
