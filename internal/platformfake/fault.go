package platformfake

// Fault is what happens to one call.
type Fault int

// The faults of calls.
const (
	// None lets the call through.
	None Fault = iota
	// Unavailable refuses the call without effect.
	Unavailable
	// UnclearWithEffect applies the write and loses the answer.
	UnclearWithEffect
	// UnclearWithoutEffect drops the write and loses the answer.
	UnclearWithoutEffect
	// UnclearLate loses the answer and holds the write back until ApplyLate.
	UnclearLate
)

// Rates are the shares of calls, from 0 to 1, that random faults hit.
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

// draw returns the fault of one call for a number between 0 and 1.
func (rates Rates) draw(number float64, write bool) Fault {
	if number < rates.Unavailable {
		return Unavailable
	}
	if !write {
		return None
	}
	number -= rates.Unavailable
	for _, unclear := range []struct {
		share float64
		fault Fault
	}{
		{rates.UnclearWithEffect, UnclearWithEffect},
		{rates.UnclearWithoutEffect, UnclearWithoutEffect},
		{rates.UnclearLate, UnclearLate},
	} {
		if number < unclear.share {
			return unclear.fault
		}
		number -= unclear.share
	}
	return None
}
