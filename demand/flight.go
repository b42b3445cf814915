package demand

// Priorities is the number of ranks of urgency; rank zero is the most urgent one.
const Priorities = 10

// InFlight counts requests in flight at one place. The zero value counts none.
type InFlight struct {
	// Running is the number of all of them.
	Running int
	// Waiting counts those without a first event, by rank.
	Waiting [Priorities]int
}

// Plus returns the sum of both.
func (flight InFlight) Plus(other InFlight) InFlight {
	flight.Running += other.Running
	for rank, count := range other.Waiting {
		flight.Waiting[rank] += count
	}
	return flight
}

// Minus returns what is left without the other one.
func (flight InFlight) Minus(other InFlight) InFlight {
	flight.Running -= other.Running
	for rank, count := range other.Waiting {
		flight.Waiting[rank] -= count
	}
	return flight
}

// AfterFirstEvent returns the flight after a request of the rank has got its first event.
func (flight InFlight) AfterFirstEvent(rank int) InFlight {
	flight.Waiting[rank]--
	return flight
}

// Ahead returns the number of requests without a first event that go before a new one of the rank.
func (flight InFlight) Ahead(rank int) int {
	ahead := 0
	for _, count := range flight.Waiting[:rank+1] {
		ahead += count
	}
	return ahead
}

// OneWaiting returns the flight of one request of the rank that waits for its first event.
func OneWaiting(rank int) InFlight {
	one := InFlight{Running: 1}
	one.Waiting[rank] = 1
	return one
}
