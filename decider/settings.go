package decider

import (
	"time"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
)

const (
	defaultStepInterval  = 250 * time.Millisecond
	defaultStaleAfter    = 5 * time.Second
	defaultOrderLifetime = 30 * time.Second
	defaultVMListLag     = 30 * time.Second
	defaultDemandTTL     = 3 * time.Second
	defaultOrderTimeout  = 5 * time.Second
	retryInterval        = time.Second
	senderCheckInterval  = 2 * time.Second
	permitSyncInterval   = 2 * time.Second
	budgetInterval       = 5 * time.Second
	defaultBudgetShare   = 0.5
	// minStepInterval is the shortest time between two steps, however many reports and states
	// arrive.
	minStepInterval = 25 * time.Millisecond
	// statusInterval is the interval at which the status is updated.
	statusInterval = time.Second
	// warmModelsPerStep bounds how many models of the catalogue one step evaluates for keeping warm.
	warmModelsPerStep = 64
	// maxInFlight bounds the calls to engines in flight.
	maxInFlight = 256
	// maxUnwantedAttempts bounds the attempts of a load that neither requests nor the warm
	// policy need any more.
	maxUnwantedAttempts = 3
	// minLoadBackoff is the time for which a model is not loaded again after a failed load; it
	// doubles with each failure.
	minLoadBackoff = time.Second
	// maxLoadBackoff bounds the backoff after repeated failures.
	maxLoadBackoff = time.Minute
)

// Settings holds the settings of a decider. The zero value of a duration or share means its
// default.
type Settings struct {
	// DataCentre is the data centre of the decider.
	DataCentre string
	// Sender identifies this process.
	Sender intent.Sender
	// DataCentres names all data centres in an order that is the same everywhere.
	DataCentres []string
	// LoadsPerSecond is the limit of the weight store on starts of loads a second, over all data
	// centres.
	LoadsPerSecond float64
	// LoadsAtOnce is the limit of the weight store on loads at once, over all data centres.
	LoadsAtOnce int
	// StepInterval is the longest time between steps; reports and changes start a step sooner;
	// zero means 250 ms.
	StepInterval time.Duration
	// StaleAfter is the age from which a view is no longer used for loads; zero means 5 s.
	StaleAfter time.Duration
	// OrderLifetime bounds how long the bytes of an unanswered order may still take effect; zero
	// means 30 s.
	OrderLifetime time.Duration
	// VMListLag bounds how old the VM list may be; zero means 30 s.
	VMListLag time.Duration
	// DemandTTL is the time for which a report of a router is valid; zero means 3 s.
	DemandTTL time.Duration
	// OrderTimeout bounds one call to an engine; zero means 5 s.
	OrderTimeout time.Duration
	// BudgetShare is the share of free memory that the holder may decide on during an outage;
	// zero means a half, a negative value none.
	BudgetShare float64
	// Placement holds the settings of placement.
	Placement placement.Settings
}

func (settings Settings) withDefaults() Settings {
	setDuration(&settings.StepInterval, defaultStepInterval)
	setDuration(&settings.StaleAfter, defaultStaleAfter)
	setDuration(&settings.OrderLifetime, defaultOrderLifetime)
	setDuration(&settings.VMListLag, defaultVMListLag)
	setDuration(&settings.DemandTTL, defaultDemandTTL)
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
