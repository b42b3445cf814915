package demand

// Ranks is the number of ranks of urgency; rank zero is the most urgent one.
const Ranks = 10

// Flight counts requests in flight at one place. The zero value counts none.
type Flight struct {
	// Running is the number of all of them.
	Running int
	// Waiting counts those without a first event, by rank.
	Waiting [Ranks]int
}

// Plus returns the sum of both.
func (flight Flight) Plus(other Flight) Flight {
	flight.Running += other.Running
	for rank, count := range other.Waiting {
		flight.Waiting[rank] += count
	}
	return flight
}

// Minus returns what is left without the other one.
func (flight Flight) Minus(other Flight) Flight {
	flight.Running -= other.Running
	for rank, count := range other.Waiting {
		flight.Waiting[rank] -= count
	}
	return flight
}

// Begun returns the flight after a request of the rank has got its first event.
func (flight Flight) Begun(rank int) Flight {
	flight.Waiting[rank]--
	return flight
}

// Ahead returns the number of requests without a first event that go before a new one of the rank.
func (flight Flight) Ahead(rank int) int {
	ahead := 0
	for _, count := range flight.Waiting[:rank+1] {
		ahead += count
	}
	return ahead
}

// One returns the flight of one request of the rank that waits for its first event.
func One(rank int) Flight {
	one := Flight{Running: 1}
	one.Waiting[rank] = 1
	return one
}
