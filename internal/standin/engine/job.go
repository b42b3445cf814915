package engine

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// job is one generation. It outlives the connection that started it, so that it can be resumed.
type job struct {
	id       string
	model    string
	chat     bool
	priority int
	// total is the number of tokens of the response.
	total int
	// digest is the hash of the request body. It is part of every token and identifies the request.
	digest  string
	crashes bool
	replica *replica
	adapter *adapter
	// prefixHit states that the prompt prefix was cached.
	prefixHit bool
	ctx       context.Context
	cancel    context.CancelFunc

	mu       sync.Mutex
	produced int
	// ended reports that no more tokens follow. The response is complete if produced equals total.
	ended    bool
	finished time.Time
	// connection is the connection that currently streams the job, or nil.
	connection *connection
}

// connection is an HTTP connection that streams a job.
type connection struct {
	// changed receives an item when the state of the job has changed. It is never closed.
	changed chan struct{}
}

// attach makes a new connection the one that streams the job. The previous connection is notified and stops.
func (j *job) attach() *connection {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.connection.notify()
	j.connection = &connection{changed: make(chan struct{}, 1)}
	return j.connection
}

// detach removes the connection if it is the current one. It reports whether the job is left unfinished.
func (j *job) detach(own *connection) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.connection != own {
		return false
	}
	j.connection = nil
	return !j.ended
}

// abandoned reports whether no connection streams the job.
func (j *job) abandoned() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.connection == nil && !j.ended
}

// progress returns the number of produced tokens, whether no more follow, and whether own is the current
// connection.
func (j *job) progress(own *connection) (produced int, ended, current bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.produced, j.ended, j.connection == own
}

func (j *job) addToken() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.produced++
	j.connection.notify()
}

func (j *job) finish(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended = true
	j.finished = now
	j.connection.notify()
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

// token returns the text of one token. The index starts at 1.
func (j *job) token(index int) string {
	return j.digest + "-" + strconv.Itoa(index) + " "
}

func (c *connection) notify() {
	if c == nil {
		return
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}
