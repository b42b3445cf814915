package ratelimit

import (
	"math"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

const (
	// minPerSecond is the lowest limit in force. A replica that names less still gets a request from time to time,
	// since only its response can show that the limit was raised or ended.
	minPerSecond = 0.125
	// maxPerSecond is the highest limit in force. No replica serves as many requests.
	maxPerSecond = 1e6
	// resolution is the precision of limits in force, which is that of the messages between daemons.
	resolution = 1.0 / 1024
)

// Limit is what is known of the limit of one incarnation.
type Limit struct {
	// PerSecond is the limit in requests per second; zero if the replica named one earlier and does not any more.
	PerSecond float64
	// Since is when the value was first known to this daemon.
	Since time.Time
	// Confirmed is when the last response that states the value arrived at any daemon, by the clock of this daemon.
	Confirmed time.Time
}

// Named reports whether a limit is in force.
func (limit Limit) Named() bool {
	return limit.PerSecond > 0
}

// Entry is the limit of one incarnation, as daemons tell each other.
type Entry struct {
	topology.Incarnation
	Limit
}

// Observation is what the head of one response states about the limit of the replica that sent it.
type Observation struct {
	// Named is set if the response names a limit, and PerSecond is that limit in requests per second; it is finite and
	// not negative.
	Named     bool
	PerSecond float64
	// Conclusive is set if a response that names no limit shows that the replica has none. It is not set for responses
	// that another program may have sent, or that never name a limit.
	Conclusive bool
	// Sent is when the request was sent at the earliest, and Received when the head of the response was read.
	Sent, Received time.Time
}

// inForce returns the limit in force according to the observation; zero if there is none.
func (observation Observation) inForce() float64 {
	if !observation.Named {
		return 0
	}
	return clamp(observation.PerSecond)
}

// clamp returns the limit in force for a positive limit that was named, in whole multiples of resolution.
func clamp(named float64) float64 {
	return math.Floor(min(max(named, minPerSecond), maxPerSecond)/resolution) * resolution
}

// Change is how the limit of an incarnation changed since the last change that was reported.
type Change struct {
	// From and To are the limits before and after it in requests per second; zero means none.
	From, To float64
}
