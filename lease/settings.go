package lease

import "time"

const (
	defaultTerm       = 10 * time.Second
	defaultRenewEvery = 3 * time.Second
	// marginShare is the part of the term by which clocks may differ in speed.
	marginShare = 10
	// wishShare is the part of RenewEvery after which a daemon that wants its lease back looks again.
	wishShare = 4
	// maxWatchTerms bounds the interval of watching in terms.
	maxWatchTerms = 2
)

// Settings tells which lease to hold and its times. The zero value of a time means its default.
type Settings struct {
	// DataCentre names the data centre that the holder decides for.
	DataCentre string
	// Term is how long the lease lasts after a renewal; zero means 10 s.
	Term time.Duration
	// RenewEvery is the interval of renewals; zero means 3 s. It must be below half of Term.
	RenewEvery time.Duration
	// Margin is taken from the term of the holder; zero means a tenth of Term.
	Margin time.Duration
	// Rank returns the place of this daemon among the candidates, from zero. A higher rank
	// watches less often and waits longer. Nil means zero.
	Rank func() int
	// SettleTime is the time after a change of the VM in which what the former holder sent may still arrive. A
	// process that is started again within it has that VM as its former holder. It counts whole RenewEvery.
	SettleTime time.Duration
	// OneProcess states that a VM runs one process at a time, so that an earlier incarnation on the VM of
	// this daemon is gone and its lease can be taken at once.
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
		settings.Margin = settings.Term / marginShare
	}
	if settings.Rank == nil {
		settings.Rank = func() int { return 0 }
	}
	return settings
}
