package release

import "time"

// Status describes how current the state of a follower is.
type Status struct {
	// Confirmed is the time of the last successful poll of the platform; zero means never.
	Confirmed time.Time
	// Failures is the number of polls that failed since.
	Failures int
	// LastError is the error of the last of these polls, or empty.
	LastError string
}

// afterPoll returns the status after a poll that ended with the error at the time.
func (status Status) afterPoll(err error, now time.Time) Status {
	if err == nil {
		return Status{Confirmed: now}
	}
	return Status{Confirmed: status.Confirmed, Failures: status.Failures + 1, LastError: err.Error()}
}

// Status returns how current the state in force is.
func (follower *Follower) Status() Status {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.status
}
