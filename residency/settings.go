package residency

import (
	"cmp"
	"time"
)

// Settings holds the limits of a planner. The zero value of a field means its default.
type Settings struct {
	// StoreLoadsAtOnce is the number of loads from the weight store at full speed; zero means 4.
	StoreLoadsAtOnce int
	// LoadWindow is the time over which the rate of loads from the weight store is limited; zero means 5 s.
	LoadWindow time.Duration
	// PrefillRate is the number of prompt tokens that an engine reads in a second if it does nothing else;
	// zero means 25,000.
	PrefillRate float64
}

func (settings Settings) withDefaults() Settings {
	settings.StoreLoadsAtOnce = cmp.Or(settings.StoreLoadsAtOnce, 4)
	settings.LoadWindow = cmp.Or(settings.LoadWindow, 5*time.Second)
	settings.PrefillRate = cmp.Or(settings.PrefillRate, 25_000)
	return settings
}
