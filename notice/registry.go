package notice

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// mostRuns is the largest number of runs of replicas of which notices are kept.
const mostRuns = 4096

// Registry holds the notices of replicas by run. It is safe for concurrent use. Use New.
type Registry struct {
	mutex sync.Mutex
	// leaving maps runs that leave to when that was heard.
	leaving map[topology.Incarnation]time.Time
	// rests maps runs to the end of their rest.
	rests map[topology.Incarnation]time.Time
	// odd holds the runs of which a notice could not be decoded.
	odd map[topology.Incarnation]bool
}

// New returns an empty book.
func New() *Registry {
	return &Registry{
		leaving: map[topology.Incarnation]time.Time{},
		rests:   map[topology.Incarnation]time.Time{},
		odd:     map[topology.Incarnation]bool{},
	}
}

// MarkLeaving notes that the run takes no new work, and reports whether that is new.
func (book *Registry) MarkLeaving(run topology.Incarnation, now time.Time) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if _, known := book.leaving[run]; known {
		return false
	}
	if len(book.leaving) >= mostRuns {
		delete(book.leaving, oldest(book.leaving))
	}
	book.leaving[run] = now
	return true
}

// SetBackoff notes that the run wants no request until the time, at most LongestRest from now. It reports whether that is later
// than known.
func (book *Registry) SetBackoff(run topology.Incarnation, until, now time.Time) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if longest := now.Add(MaxBackoff); until.After(longest) {
		until = longest
	}
	if !until.After(book.rests[run]) || !until.After(now) {
		return false
	}
	if len(book.rests) >= mostRuns {
		maps.DeleteFunc(book.rests, func(_ topology.Incarnation, until time.Time) bool { return !until.After(now) })
	}
	if len(book.rests) >= mostRuns {
		delete(book.rests, oldest(book.rests))
	}
	book.rests[run] = until
	return true
}

// MarkMalformed notes that a notice of the run could not be decoded, and reports whether it is the first.
func (book *Registry) MarkMalformed(run topology.Incarnation) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if book.odd[run] {
		return false
	}
	if len(book.odd) >= mostRuns {
		clear(book.odd)
	}
	book.odd[run] = true
	return true
}

// Leaving reports whether the run said that it leaves.
func (book *Registry) Leaving(run topology.Incarnation) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	_, leaving := book.leaving[run]
	return leaving
}

// BackoffUntil returns the end of the rest of the run, and false if it wants requests.
func (book *Registry) BackoffUntil(run topology.Incarnation, now time.Time) (time.Time, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	until := book.rests[run]
	return until, until.After(now)
}

// Accepts reports whether the run may be sent a new request.
func (book *Registry) Accepts(run topology.Incarnation, now time.Time) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	_, leaving := book.leaving[run]
	return !leaving && !book.rests[run].After(now)
}

// LatestLeaving returns the runs that leave, at most so many and those heard last first.
func (book *Registry) LatestLeaving(most int) []topology.Incarnation {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	runs := slices.SortedFunc(maps.Keys(book.leaving), func(a, b topology.Incarnation) int {
		return cmp.Or(book.leaving[b].Compare(book.leaving[a]), cmp.Compare(a.ID, b.ID))
	})
	return runs[:min(len(runs), most)]
}

// Counts returns the number of runs that leave and that of runs at rest.
func (book *Registry) Counts(now time.Time) (leaving, resting int) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for _, until := range book.rests {
		if until.After(now) {
			resting++
		}
	}
	return len(book.leaving), resting
}

// Prune drops the runs that are not live and whose notices are older than the time.
func (book *Registry) Prune(live map[topology.Incarnation]bool, before, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	maps.DeleteFunc(book.leaving, func(run topology.Incarnation, heard time.Time) bool { return !live[run] && heard.Before(before) })
	maps.DeleteFunc(book.rests, func(_ topology.Incarnation, until time.Time) bool { return !until.After(now) })
	maps.DeleteFunc(book.odd, func(run topology.Incarnation, _ bool) bool { return !live[run] })
}

// oldest returns the run with the earliest time.
func oldest(times map[topology.Incarnation]time.Time) topology.Incarnation {
	var first topology.Incarnation
	found := false
	for run, at := range times {
		if !found || at.Before(times[first]) {
			first, found = run, true
		}
	}
	return first
}
