package retry

import (
	"cmp"
	"sync"
)

// The defaults of Settings.
const (
	// defaultShare is the default of Settings.Share.
	defaultShare = 0.1
	// defaultMax is the default of Settings.Max.
	defaultMax = 32.0
)

// Settings holds the parameters of a Budget. The zero value of a field means its default.
type Settings struct {
	// Share is the number of retries that each first attempt adds; zero means 0.1.
	Share float64
	// Max is the maximum number of available retries; zero means 32.
	Max float64
	// Initial is the number of retries that are available at first, at most Max; zero means Max.
	Initial float64
}

// Budget limits retries to a share of the first attempts, as a token bucket that first attempts fill.
// It is safe for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	settings Settings
	// available is the number of available retries, between zero and settings.Max.
	available float64
}

// New returns a budget with the default settings. It is full at first, so that a daemon with little traffic can
// retry too.
func New() *Budget {
	return NewWithSettings(Settings{})
}

// NewWithSettings returns a budget with the settings.
func NewWithSettings(settings Settings) *Budget {
	settings.Share = cmp.Or(settings.Share, defaultShare)
	settings.Max = cmp.Or(settings.Max, defaultMax)
	return &Budget{settings: settings, available: min(cmp.Or(settings.Initial, settings.Max), settings.Max)}
}

// SetMax changes the maximum number of available retries.
func (budget *Budget) SetMax(maximum float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.settings.Max = maximum
	budget.available = min(budget.available, maximum)
}

// Deposit records a first attempt and adds its share of a retry.
func (budget *Budget) Deposit() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.available = min(budget.available+budget.settings.Share, budget.settings.Max)
}

// Withdraw takes one retry from the budget. It returns false if less than one is available.
func (budget *Budget) Withdraw() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.available < 1 {
		return false
	}
	budget.available--
	return true
}

// Return gives back a retry that was withdrawn and not made.
func (budget *Budget) Return() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.available = min(budget.available+1, budget.settings.Max)
}
