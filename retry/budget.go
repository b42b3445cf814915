package retry

import "sync"

// The limits of the budget.
const (
	// share is the number of retries that each first attempt earns.
	share = 0.1
	// most is the largest number of retries that can be saved up.
	most = 32.0
)

// Budget is a bounded number of retries that grows with traffic. It is safe for concurrent use.
type Budget struct {
	mutex sync.Mutex
	// saved is between zero and most.
	saved float64
}

// New returns a full budget, so that a daemon with little traffic can retry too.
func New() *Budget {
	return &Budget{saved: most}
}

// Earn notes a first attempt.
func (budget *Budget) Earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.saved = min(budget.saved+share, most)
}

// Spend takes one retry from the budget and reports whether there was one.
func (budget *Budget) Spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.saved < 1 {
		return false
	}
	budget.saved--
	return true
}
