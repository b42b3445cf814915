package platformfake

// Fault is a failure injected into one call.
type Fault int

// The faults that can be injected.
const (
	// None executes the call normally.
	None Fault = iota
	// Unavailable fails the call without executing it.
	Unavailable
	// UnclearWithEffect applies the write and loses the response.
	UnclearWithEffect
	// UnclearWithoutEffect drops the write and returns no response.
	UnclearWithoutEffect
	// UnclearLate loses the response and delays the write until ApplyLate.
	UnclearLate
)

// Rates holds the probability, from 0 to 1, of each random fault.
type Rates struct {
	// Unavailable applies to reads and writes.
	Unavailable float64
	// UnclearWithEffect applies to writes.
	UnclearWithEffect float64
	// UnclearWithoutEffect applies to writes.
	UnclearWithoutEffect float64
	// UnclearLate applies to writes; they take effect at the next ApplyLate.
	UnclearLate float64
}

// draw returns the fault of one call for a uniform random number between 0 and 1.
func (rates Rates) draw(number float64, write bool) Fault {
	if number < rates.Unavailable {
		return Unavailable
	}
	if !write {
		return None
	}
	number -= rates.Unavailable
	for _, unclear := range []struct {
		probability float64
		fault       Fault
	}{
		{rates.UnclearWithEffect, UnclearWithEffect},
		{rates.UnclearWithoutEffect, UnclearWithoutEffect},
		{rates.UnclearLate, UnclearLate},
	} {
		if number < unclear.probability {
			return unclear.fault
		}
		number -= unclear.probability
	}
	return None
}
