package balance

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Criteria states what a request needs of its replica.
type Criteria struct {
	// Tokens is the length of the prompt in tokens; zero for a plain service.
	Tokens int
	// DaemonIndex is the index of the daemon among all daemons; daemons with different indexes prefer different
	// replicas.
	DaemonIndex int
	// Zone is the data centre of the daemon.
	Zone string
	// Priority is that of the request; zero is the most urgent. FirstEventTarget is the time within which the client
	// expects the first event; together with MaxLoad it limits the accepted expected wait. Zero means that any wait is accepted.
	Priority         int
	FirstEventTarget time.Duration
	// AdmissionQuantile is a uniform value from zero to one that is fixed for the request. A higher value accepts a
	// longer expected wait, so that fewer requests are admitted as the wait grows.
	AdmissionQuantile float64
	// MaxLoad is the number of requests in flight, as a multiple of its slots, from which a replica is not chosen;
	// zero means no limit.
	MaxLoad float64
	// Service is the service of the candidates.
	Service string
	// GapTarget is the longest pause between events for which a stream counts as in time; zero if no pause counts.
	GapTarget time.Duration
	// OutputTokens is the most tokens that the replica generates; zero if unknown. Longer streams have late pauses more often.
	OutputTokens int
	// LateAnyway states that the response is late already, so that pauses do not matter.
	LateAnyway bool
	// Unhurried and AtMostOnce state that the request has time, and that it must not run twice: the first are sent to replicas that
	// start or recover before others, and the second after others.
	Unhurried, AtMostOnce bool
	// Quietest states that the candidate with the fewest requests in flight is chosen, whatever else speaks for others.
	Quietest bool
	// Leaving lists releases whose replicas are chosen only if all other sound ones have most of their slots taken.
	Leaving []string
	// Exclude lists replicas that were tried already; they are chosen only if there is no other.
	Exclude []topology.Incarnation
	// Silent lists replicas that are chosen only if all others are among them.
	Silent []topology.Incarnation
}

// Candidate is a replica that can serve the request.
type Candidate struct {
	topology.Incarnation
	// Address is the IP address and port.
	Address string
	// Zone is the data centre of the replica.
	Zone string
	// Release is the version of the replica's software.
	Release string
	// Slots is the number of requests that the replica runs at once; it is at least one.
	Slots int
	// Reserved is set if a token for the limit of the replica is at hand, so that another replica need not be loaded.
	Reserved bool
	// ChosenAt is when the replica was chosen; it is set by Choose.
	ChosenAt time.Time
	// QueuedAhead is the number of requests at the replica that were expected to get their first event earlier; it is
	// set by Choose.
	QueuedAhead int
	// InFlight is the number of requests known to be in flight at the replica; it is set by Choose.
	InFlight int
}
