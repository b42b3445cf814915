package load

import "time"

// Settings describe one load.
type Settings struct {
	// Address is the IP address and port of a daemon or of an engine.
	Address string
	// Models are the model fields; arrivals take them in turn.
	Models []string
	// Version is sent to engines, which check it; daemons ignore it.
	Version string
	// Keys are the keys of tenants; arrivals take them in turn. Empty sends none.
	Keys []string
	// Class is the class of the requests, or empty.
	Class string
	// Rate is the number of requests per second.
	Rate float64
	// Tokens is the number of tokens asked for by each request.
	Tokens int
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// InFlight is the largest number of requests in flight.
	InFlight int
	// GoodFirstToken is the time to the first token within which an answer counts as goodput.
	GoodFirstToken time.Duration
	// Seed makes the arrivals and the prompts.
	Seed uint64
}
