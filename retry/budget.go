package retry

import (
	"cmp"
	"sync"
)

// The default limits of a budget.
const (
	// defaultShare is the number of retries that each first attempt earns.
	defaultShare = 0.1
	// defaultMost is the largest number of retries that can be saved up.
	defaultMost = 32.0
)

// Settings holds the limits of a budget. The zero value of a field means its default.
type Settings struct {
	// Share is the number of retries that each first attempt earns; zero means 0.1.
	Share float64
	// Max is the largest number of retries that can be saved up; zero means 32.
	Max float64
	// Initial is the number of retries at the start, at most Most; zero means Most.
	Initial float64
}

// Budget is a bounded number of retries that grows with traffic. It is safe for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	settings Settings
	// saved is between zero and settings.Most.
	saved float64
}

// New returns a full budget with the default limits, so that a daemon with little traffic can retry too.
func New() *Budget {
	return NewWithSettings(Settings{})
}

// NewWithSettings returns a budget with the limits.
func NewWithSettings(settings Settings) *Budget {
	settings.Share = cmp.Or(settings.Share, defaultShare)
	settings.Max = cmp.Or(settings.Max, defaultMost)
	return &Budget{settings: settings, saved: min(cmp.Or(settings.Initial, settings.Max), settings.Max)}
}

// SetMax lowers or raises the largest number of retries that can be saved up.
func (budget *Budget) SetMax(most float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.settings.Max = most
	budget.saved = min(budget.saved, most)
}

// Deposit notes a first attempt.
func (budget *Budget) Deposit() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.saved = min(budget.saved+budget.settings.Share, budget.settings.Max)
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (budget *Budget) Withdraw() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.saved < 1 {
		return false
	}
	budget.saved--
	return true
}
