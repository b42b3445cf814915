package quota

import "time"

// Ask is the question of a daemon for an amount of the quota of one account, in the unit of that quota.
type Ask struct {
	// Account is the name of the account.
	Account string
	// Sequence is the number of the question, which rises from one to the next, and Answered that of the last one that got a response.
	// The amount of a response that did not arrive is granted anew.
	Sequence, Answered uint64
	// Held is what the daemon has and can still use.
	Held float64
	// First is what the first waiting request lacks, and Need what all waiting requests lack together; zero if none waits.
	First, Need float64
	// Mean is what a request costs on average. Less than that is of no use ahead of demand.
	Mean float64
	// Ahead is what the daemon wants beyond Need for requests that it expects.
	Ahead float64
	// Returned is what expired unused or was given back since the last question.
	Returned float64
	// Demand is what the requests of the account at this daemon cost per second, refused ones included.
	Demand float64
	// Closing is set if the daemon has no demand any more and will not ask until it has.
	Closing bool
}

// Grant is the response to an Ask.
type Grant struct {
	// Amount is what the daemon may use within amountLifetime.
	Amount float64
	// Next is how long the daemon waits before it asks again for what it did not get.
	Next time.Duration
	// Available is the time until there is enough for the first request that waits, after those of other daemons; zero if it is granted.
	Available time.Duration
	// Refused is set if this daemon knows no quota of the account.
	Refused bool
}
