package notice

import "time"

// Notice is what one response reports about its replica. The zero value reports nothing.
type Notice struct {
	// Leaving states that the replica accepts no new requests because it shuts down.
	Leaving bool
	// Backoff is how long the replica asks to receive no requests; zero if it does not ask.
	Backoff time.Duration
	// Limit is the number of requests per second that the replica accepts from all daemons together, and LimitNamed is
	// set if the response names one.
	Limit      float64
	LimitNamed bool
	// Rejections is the number of rejections in a second, by all daemons together, above which the replica falls over, and Brittle
	// is set if the response names one.
	Rejections float64
	Brittle    bool
	// Unknown is the name of a header that is meant for daemons and has no known meaning; it is empty if there was none.
	Unknown string
	// Malformed is the name of a header that could not be decoded as a notice; it is empty if there was none.
	Malformed string
}

// MaxBackoff bounds the backoff that a replica can request.
const MaxBackoff = time.Hour
