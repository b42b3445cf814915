package load

import "time"

// Settings configures one load.
type Settings struct {
	// Address is the IP address and port of a daemon or of an engine.
	Address string
	// Models are the model fields, used in rotation.
	Models []string
	// Version is the model version, which engines check and daemons ignore.
	Version string
	// Keys are the keys of tenants, used in rotation. If it is empty, no key is sent.
	Keys []string
	// Class is the class of the requests, or empty.
	Class string
	// Rate is the number of requests per second.
	Rate float64
	// Tokens is the number of tokens that each request asks for.
	Tokens int
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Timeout is the time limit of one request.
	Timeout time.Duration
	// InFlight is the largest number of requests in flight.
	InFlight int
	// GoodFirstToken is the time to the first token up to which a response counts as goodput.
	GoodFirstToken time.Duration
	// Seed determines the arrival times and the prompts.
	Seed uint64
}
