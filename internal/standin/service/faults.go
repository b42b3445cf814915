package service

// Faults are the faults in force. The zero value is a healthy service.
type Faults struct {
	// CutBefore is the number of coming calls whose connection is cut before they are executed.
	CutBefore int
	// CutAfter is the number of coming calls that are executed and whose connection is cut then.
	CutAfter int
	// Refuse is the number of coming calls that are refused with proof that they did not run.
	Refuse int
	// Crossed is the number of coming calls that are executed and answered with another identifier.
	Crossed int
	// Truncated is the number of coming calls that are executed and whose answer ends early.
	Truncated int
	// SlowMilliseconds delays every execution.
	SlowMilliseconds int
}
