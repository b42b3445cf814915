package demand

// Priorities is the number of priorities; zero is the most urgent one.
const Priorities = 10

// InFlight counts requests in flight for one replica key or replica. The zero value counts none.
type InFlight struct {
	// Running is the number of all requests in flight.
	Running int
	// Waiting is the number of those without a first event, by priority.
	Waiting [Priorities]int
}

// Plus returns the sum of both counts.
func (inFlight InFlight) Plus(other InFlight) InFlight {
	inFlight.Running += other.Running
	for priority, count := range other.Waiting {
		inFlight.Waiting[priority] += count
	}
	return inFlight
}

// Minus returns the difference of both counts.
func (inFlight InFlight) Minus(other InFlight) InFlight {
	inFlight.Running -= other.Running
	for priority, count := range other.Waiting {
		inFlight.Waiting[priority] -= count
	}
	return inFlight
}

// AfterFirstEvent returns the count after a request of the priority has got its first event.
func (inFlight InFlight) AfterFirstEvent(priority int) InFlight {
	inFlight.Waiting[priority]--
	return inFlight
}

// Ahead returns the number of requests without a first event that are served before a new one of the priority.
func (inFlight InFlight) Ahead(priority int) int {
	ahead := 0
	for _, count := range inFlight.Waiting[:priority+1] {
		ahead += count
	}
	return ahead
}

// OneWaiting returns the count of a single request of the priority without a first event.
func OneWaiting(priority int) InFlight {
	one := InFlight{Running: 1}
	one.Waiting[priority] = 1
	return one
}
