package platform

// Faults are the faults in force. The zero value is a healthy platform.
type Faults struct {
	// Unavailable refuses every call before it takes effect.
	Unavailable bool
	// CutBefore cuts the connection of every write before it takes effect.
	CutBefore bool
	// LoseAnswers is the number of coming writes that take effect and whose connection is cut then.
	LoseAnswers int
	// SlowMilliseconds delays every call.
	SlowMilliseconds int
	// StaleVMs freezes the VM list as it is now.
	StaleVMs bool
}
