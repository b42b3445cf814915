package service

// Faults holds the active faults. The zero value has none.
type Faults struct {
	// CutBefore is the number of next calls whose connection is aborted without executing them.
	CutBefore int
	// CutAfter is the number of next calls that are executed and whose connection is then aborted.
	CutAfter int
	// Refuse is the number of next calls that are refused with the outcome "not run".
	Refuse int
	// Crossed is the number of next calls that are executed and whose response carries a foreign request identifier.
	Crossed int
	// Truncated is the number of next calls that are executed and whose response ends early.
	Truncated int
	// SlowMilliseconds delays every execution.
	SlowMilliseconds int
}
