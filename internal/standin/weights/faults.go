package weights

// Faults are the faults in force. The zero value is a healthy store.
type Faults struct {
	// SlowFactor makes every transfer take this many times as long; zero means once.
	SlowFactor float64
	// Absent refuses every transfer.
	Absent bool
}
