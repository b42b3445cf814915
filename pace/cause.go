package pace

// Cause tells why a replica may have few requests in flight.
type Cause int

// The causes.
const (
	// None is the cause of replicas whose slots alone limit their requests.
	None Cause = iota
	// Cold is that of a replica whose row says that it is slow after its start.
	Cold
	// New is that of a replica that was not known before.
	New
	// Failing is that of a replica that failed requests.
	Failing
	// Rejecting is that of a replica that rejected requests although it had free slots.
	Rejecting
	// Slow is that of a replica that began requests late although it had free slots.
	Slow
)

// String returns the name of the cause.
func (cause Cause) String() string {
	switch cause {
	case Cold:
		return "Cold"
	case New:
		return "New"
	case Failing:
		return "Failing"
	case Rejecting:
		return "Rejecting"
	case Slow:
		return "Slow"
	default:
		return "None"
	}
}
