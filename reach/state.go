package reach

import "time"

// Failure is the way in which an attempt to reach a replica failed.
type Failure int

// The failures.
const (
	// NotOpened means that a connection was not opened in time.
	NotOpened Failure = iota
	// Refused means that a connection was refused.
	Refused
	// Reset means that a new connection ended before any byte of a response.
	Reset
	// Silent means that nothing came on an open connection.
	Silent
	// LateTimeout means that a connection was not opened in time, and that this daemon noticed it late: it may have stood still itself.
	LateTimeout
)

// String returns the name of the failure.
func (failure Failure) String() string {
	return [...]string{"NotOpened", "Refused", "Reset", "Silent", "LateTimeout"}[failure]
}

// swallows reports whether requests may have been sent before the failure, so that the replica may have run them.
func (failure Failure) swallows() bool {
	return failure == Reset || failure == Silent
}

// State is what a daemon concludes about its path to one replica.
type State int

// The states.
const (
	// Sound means that nothing speaks against the path.
	Sound State = iota
	// Suspected means that an attempt yielded nothing for a while or was reset, or that its timeout came late, and that nothing was
	// proved since: the replica, or this daemon, may pause, or the path may be cut.
	Suspected
	// Absent means that the path has been suspected for longer than replicas pause: the replica is likely dead for all daemons.
	Absent
	// Closed means that connections cannot be opened, so that nothing is sent.
	Closed
	// Dead means that connections are opened and yield nothing: the replica answers other daemons meanwhile, or they are reset again
	// and again.
	Dead
)

// Lost reports whether the daemon does not reach the replica.
func (state State) Lost() bool {
	return state >= Closed
}

// Change is how an observation changed what the daemon concludes about itself.
type Change int

// The changes.
const (
	Unchanged Change = iota
	// CutOff means that the daemon reaches no replica from now on.
	CutOff
	// Back means that it reaches one again.
	Back
)

// Knowledge is what is known of one path.
type Knowledge struct {
	State State
	// Proved is when a byte of a response came last; zero if none did.
	Proved time.Time
	// Failure is how an attempt failed last since then, and FailedSince when the first attempt began that did; it is zero if none did.
	Failure     Failure
	FailedSince time.Time
}
