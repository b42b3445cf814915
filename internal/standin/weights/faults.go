package weights

// Faults holds the active faults. The zero value has none.
type Faults struct {
	// SlowFactor multiplies the duration of transfers. Values below 1 mean 1.
	SlowFactor float64
	// Absent makes every transfer fail.
	Absent bool
}
