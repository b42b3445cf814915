package engine

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// job is one generation.
type job struct {
	id       string
	model    string
	chat     bool
	priority int
	// total is the number of tokens of the answer.
	total int
	// mark is in every token and tells whose answer it is.
	mark    string
	crashes bool
	replica *replica
	adapter *adapter
	// prefixHit states that the prompt prefix was cached.
	prefixHit bool
	ctx       context.Context
	cancel    context.CancelFunc

	mu       sync.Mutex
	produced int
	// ended states that no token follows; the answer is complete if produced equals total.
	ended    bool
	finished time.Time
	// owner is the connection that streams the job now.
	owner *owner
}

// owner is one connection that streams a job.
type owner struct {
	// changed gets an item when there is something new, and is never closed.
	changed chan struct{}
}

// attach makes a new connection the owner of the job; the earlier one stops.
func (j *job) attach() *owner {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.owner.wake()
	j.owner = &owner{changed: make(chan struct{}, 1)}
	return j.owner
}

// detach ends the ownership and reports whether mine was the owner of an unfinished job.
func (j *job) detach(mine *owner) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.owner != mine {
		return false
	}
	j.owner = nil
	return !j.ended
}

// abandoned reports whether no connection streams the job.
func (j *job) abandoned() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owner == nil && !j.ended
}

// progress returns the tokens there are, whether no more follow, and whether mine still owns the job.
func (j *job) progress(mine *owner) (produced int, ended, owned bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.produced, j.ended, j.owner == mine
}

func (j *job) advance() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.produced++
	j.owner.wake()
}

func (j *job) end(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
	j.finished = now
	j.owner.wake()
}

func (j *job) complete() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended && j.produced == j.total
}

// expired reports whether the job ended before the time.
func (j *job) expired(before time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended && j.finished.Before(before)
}

// token returns the text of one token, counted from one.
func (j *job) token(index int) string {
	return j.mark + "-" + strconv.Itoa(index) + " "
}

func (o *owner) wake() {
	if o == nil {
		return
	}
	select {
	case o.changed <- struct{}{}:
	default:
	}
}
