package lending

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// silenceLimit is the time without a response after which a daemon that serves requests for this one counts as silent. It is
	// above the pauses of a busy daemon.
	silenceLimit = time.Second
	// silentTerm is the time for which a silent daemon is not asked.
	silentTerm = 3 * time.Second
)

// Borrowed tracks the requests that other daemons serve for this one, and whether those daemons respond. It is safe for concurrent
// use. Use NewBorrowed.
type Borrowed struct {
	mutex sync.Mutex
	// daemons maps names to the daemons that serve requests now, or were silent lately.
	daemons map[string]*lender
	// next numbers the requests.
	next int
}

// lender is a daemon that serves requests for this one.
type lender struct {
	address string
	// requests maps the numbers of its requests to what sends them to another daemon, if that is possible; nil for one that must not
	// be sent again.
	requests map[int]func() bool
	// heard is when it responded last, or got its first request after a time without any.
	heard time.Time
	// silentUntil is the time until which it is not asked; zero if it was not silent.
	silentUntil time.Time
}

// Lender names a daemon that serves requests for this one.
type Lender struct {
	// Name and Address identify it.
	Name, Address string
}

// NewBorrowed returns a tracker without requests.
func NewBorrowed() *Borrowed {
	return &Borrowed{daemons: map[string]*lender{}}
}

// Begin records that the daemon is sent a request, and returns a function that records its end. move is called once the daemon is
// silent, until it returns true: it ends the exchange, so that the request goes to another daemon. Nil keeps the request.
func (borrowed *Borrowed) Begin(daemon Lender, move func() bool, now time.Time) func() {
	borrowed.mutex.Lock()
	defer borrowed.mutex.Unlock()
	known, ok := borrowed.daemons[daemon.Name]
	if !ok {
		known = &lender{requests: map[int]func() bool{}}
		borrowed.daemons[daemon.Name] = known
	}
	if len(known.requests) == 0 {
		known.heard = now
	}
	known.address = daemon.Address
	borrowed.next++
	number := borrowed.next
	known.requests[number] = move
	return func() { borrowed.end(daemon.Name, number) }
}

func (borrowed *Borrowed) end(name string, number int) {
	borrowed.mutex.Lock()
	defer borrowed.mutex.Unlock()
	if known, ok := borrowed.daemons[name]; ok {
		delete(known.requests, number)
	}
}

// Count returns the number of requests that the daemon serves.
func (borrowed *Borrowed) Count(name string) int {
	borrowed.mutex.Lock()
	defer borrowed.mutex.Unlock()
	if known, ok := borrowed.daemons[name]; ok {
		return len(known.requests)
	}
	return 0
}

// Serving returns the daemons that serve requests, ordered by name, and forgets those that do not and were not silent lately.
func (borrowed *Borrowed) Serving(now time.Time) []Lender {
	borrowed.mutex.Lock()
	defer borrowed.mutex.Unlock()
	var serving []Lender
	for name, known := range borrowed.daemons {
		if len(known.requests) > 0 {
			serving = append(serving, Lender{name, known.address})
		} else if !now.Before(known.silentUntil) {
			delete(borrowed.daemons, name)
		}
	}
	slices.SortFunc(serving, func(a, b Lender) int { return strings.Compare(a.Name, b.Name) })
	return serving
}

// Responded records that the daemon responded.
func (borrowed *Borrowed) Responded(name string, now time.Time) {
	borrowed.mutex.Lock()
	defer borrowed.mutex.Unlock()
	if known, ok := borrowed.daemons[name]; ok {
		known.heard, known.silentUntil = now, time.Time{}
	}
}

// NoResponse records that the daemon did not respond. If it has not for silenceLimit, its requests are moved as far as possible, and
// it is not asked for a while. It returns the number of those that were moved now.
func (borrowed *Borrowed) NoResponse(name string, now time.Time) int {
	borrowed.mutex.Lock()
	defer borrowed.mutex.Unlock()
	known, ok := borrowed.daemons[name]
	if !ok || now.Sub(known.heard) < silenceLimit {
		return 0
	}
	known.silentUntil = now.Add(silentTerm)
	moved := 0
	for number, move := range known.requests {
		if move != nil && move() {
			known.requests[number] = nil
			moved++
		}
	}
	return moved
}

// Silent reports whether the daemon did not respond lately.
func (borrowed *Borrowed) Silent(name string, now time.Time) bool {
	borrowed.mutex.Lock()
	defer borrowed.mutex.Unlock()
	known, ok := borrowed.daemons[name]
	return ok && now.Before(known.silentUntil)
}
