package lease

import "time"

const (
	defaultTerm       = 10 * time.Second
	defaultRenewEvery = 3 * time.Second
	// marginDivisor sets the default margin to a tenth of the term, the largest difference in clock speed that is
	// tolerated.
	marginDivisor = 10
	// pollDivisor divides RenewEvery. The result is the interval at which a daemon polls the lease of its data centre
	// while another data centre holds it, and the stagger between the ranks of candidates.
	pollDivisor = 4
	// maxPollTerms bounds the interval between two polls by a candidate, in terms.
	maxPollTerms = 2
)

// Settings selects the lease and its timing. The zero value of a duration means its default.
type Settings struct {
	// DataCentre is the data centre that the holder decides for.
	DataCentre string
	// Term is how long the lease lasts after a renewal; zero means 10 s.
	Term time.Duration
	// RenewEvery is the interval between renewals; zero means 3 s. It must be less than half of Term.
	RenewEvery time.Duration
	// Margin is subtracted from the term of the holder; zero means a tenth of Term.
	Margin time.Duration
	// Rank returns the position of this daemon among the candidates, from zero. A higher rank polls less often and
	// waits longer. Nil means zero.
	Rank func() int
	// SettleTime is how long messages of the former holder may still arrive after the lease moved to another VM. A
	// process that restarts within this time reports that VM as its former holder. It is measured in whole
	// RenewEvery.
	SettleTime time.Duration
	// OneProcess states that a VM runs one process at a time. An earlier incarnation on the VM of this daemon has
	// then ended, and its lease can be acquired at once.
	OneProcess bool
}

func (settings Settings) withDefaults() Settings {
	if settings.Term == 0 {
		settings.Term = defaultTerm
	}
	if settings.RenewEvery == 0 {
		settings.RenewEvery = defaultRenewEvery
	}
	if settings.Margin == 0 {
		settings.Margin = settings.Term / marginDivisor
	}
	if settings.Rank == nil {
		settings.Rank = func() int { return 0 }
	}
	return settings
}
