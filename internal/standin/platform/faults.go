package platform

// Faults holds the active faults. The zero value has none.
type Faults struct {
	// Unavailable refuses every call without executing it.
	Unavailable bool
	// CutBefore aborts the connection of every write without executing it.
	CutBefore bool
	// LoseAnswers is the number of next writes that are executed but whose response is lost.
	LoseAnswers int
	// SlowMilliseconds delays every call.
	SlowMilliseconds int
	// StaleVMs keeps the VM list that clients receive at its current content.
	StaleVMs bool
}
