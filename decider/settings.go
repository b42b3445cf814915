package decider

import (
	"time"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
)

const (
	defaultPassEvery    = 250 * time.Millisecond
	defaultStaleAfter   = 5 * time.Second
	defaultLinger       = 30 * time.Second
	defaultListLag      = 30 * time.Second
	defaultDemandLasts  = 3 * time.Second
	defaultOrderTimeout = 5 * time.Second
	defaultRetryAfter   = time.Second
	defaultSendersEvery = 2 * time.Second
	defaultPermitsEvery = 2 * time.Second
	defaultBudgetEvery  = 5 * time.Second
	defaultBudgetShare  = 0.5
	// stepGap is the shortest time between two steps, however many reports and states arrive.
	stepGap = 25 * time.Millisecond
	// statusEvery is the interval of renewing the status.
	statusEvery = time.Second
	// warmPerStep bounds how many idle models of the catalogue one step looks at.
	warmPerStep = 64
	// ordersAtOnce bounds the orders that are on their way.
	ordersAtOnce = 256
	// attemptsWithout bounds the attempts of a load that nobody asks for any more.
	attemptsWithout = 3
	// failureHold is how long a model whose load failed is not loaded again on request, doubled by each failure.
	failureHold = time.Second
	// longestFailureHold bounds the time after repeated failures.
	longestFailureHold = time.Minute
)

// Settings of a decider. The zero value of a time or share means its default.
type Settings struct {
	// DataCentre is the data centre that is decided for.
	DataCentre string
	// Sender identifies this process.
	Sender intent.Sender
	// DataCentres names all data centres in an order that is the same everywhere.
	DataCentres []string
	// LoadsPerSecond and LoadsAtOnce are the limits of the weight store over all data centres.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of loads at full speed.
	LoadsAtOnce int
	// StepInterval is the longest time between steps; reports and changes bring a step sooner; zero means 250 ms.
	StepInterval time.Duration
	// StaleAfter is the age from which a view is no longer used for loads; zero means 5 s.
	StaleAfter time.Duration
	// Linger bounds how long the bytes of an unanswered order may still take effect; zero means 30 s.
	Linger time.Duration
	// VMListLag bounds how late the VM list is; zero means 30 s.
	VMListLag time.Duration
	// DemandTTL is how long a report of a router counts; zero means 3 s.
	DemandTTL time.Duration
	// OrderTimeout bounds one order; zero means 5 s.
	OrderTimeout time.Duration
	// BudgetShare is the share of free memory that the holder may decide on without the table
	// service; zero means a half, a negative value none.
	BudgetShare float64
	// Placement holds the times of placement.
	Placement placement.Settings
}

func (settings Settings) withDefaults() Settings {
	setDuration(&settings.StepInterval, defaultPassEvery)
	setDuration(&settings.StaleAfter, defaultStaleAfter)
	setDuration(&settings.Linger, defaultLinger)
	setDuration(&settings.VMListLag, defaultListLag)
	setDuration(&settings.DemandTTL, defaultDemandLasts)
	setDuration(&settings.OrderTimeout, defaultOrderTimeout)
	if settings.BudgetShare == 0 {
		settings.BudgetShare = defaultBudgetShare
	}
	settings.BudgetShare = max(0, settings.BudgetShare)
	if len(settings.DataCentres) == 0 {
		settings.DataCentres = []string{settings.DataCentre}
	}
	return settings
}

func setDuration(value *time.Duration, whenZero time.Duration) {
	if *value == 0 {
		*value = whenZero
	}
}
