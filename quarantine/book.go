package quarantine

import (
	"slices"
	"sync"
	"time"
)

// The bounds of a Book.
const (
	// limit is the number of crashes after which a suspect is refused, unless the book has another one.
	limit = 2
	// Retention is how long a suspect is remembered after its last crash.
	Retention = 10 * time.Minute
	// capacity is the largest number of suspects.
	capacity = 4096
)

// Registry holds the suspects that a daemon knows. It is safe for concurrent use.
type Registry struct {
	// limit is the number of crashes after which a suspect is refused; of each suspect no more are kept.
	limit int
	mutex sync.Mutex
	// suspects has at most capacity entries.
	suspects map[uint64]Suspect
	// turns tells which suspects to share next.
	turns turns
}

// New returns an empty book that refuses a suspect of two crashes.
func New() *Registry {
	return NewWithLimit(limit)
}

// NewWithLimit returns an empty book that refuses a suspect of the given number of crashes, at least one.
func NewWithLimit(limit int) *Registry {
	return &Registry{limit: max(limit, 1), suspects: map[uint64]Suspect{}, turns: turns{told: map[uint64]int{}}}
}

// AddCrash notes that the fingerprint was in flight during the crash and returns the suspect.
func (book *Registry) AddCrash(fingerprint uint64, crash Crash, now time.Time) Suspect {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.merge(Suspect{Fingerprint: fingerprint, Crashes: []Crash{crash}, Until: now.Add(Retention)}, now)
}

// Import merges what another daemon exported, and returns the suspects of which it told a new crash.
func (book *Registry) Import(suspects []Suspect, now time.Time) []Suspect {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var grown []Suspect
	for _, suspect := range suspects {
		suspect.Until = earlier(suspect.Until, now.Add(Retention))
		known := len(book.suspects[suspect.Fingerprint].Crashes)
		merged := book.merge(suspect, now)
		if len(merged.Crashes) > known {
			grown = append(grown, merged)
		}
	}
	return grown
}

// Export returns the suspects that are not forgotten yet.
func (book *Registry) Export(now time.Time) []Suspect {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.forget(now)
	all := make([]Suspect, 0, len(book.suspects))
	for _, suspect := range book.suspects {
		all = append(all, suspect)
	}
	slices.SortFunc(all, func(a, b Suspect) int { return a.Until.Compare(b.Until) })
	return all
}

// CrashCount returns the number of crashes of the fingerprint and when it is forgotten.
func (book *Registry) CrashCount(fingerprint uint64, now time.Time) (int, time.Time) {
	suspect, _ := book.Suspect(fingerprint, now)
	return len(suspect.Crashes), suspect.Until
}

// Suspect returns what is held against the fingerprint, and false if that is nothing.
func (book *Registry) Suspect(fingerprint uint64, now time.Time) (Suspect, bool) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	suspect, ok := book.suspects[fingerprint]
	if !ok || !suspect.Until.After(now) {
		return Suspect{}, false
	}
	return suspect, true
}

// CountRefused returns the number of suspects that are refused.
func (book *Registry) CountRefused(now time.Time) int {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	count := 0
	for _, suspect := range book.suspects {
		if book.refused(suspect) && suspect.Until.After(now) {
			count++
		}
	}
	return count
}

// RefusedUntil reports until when the fingerprint may not run, and false if it may.
func (book *Registry) RefusedUntil(fingerprint uint64, now time.Time) (time.Time, bool) {
	crashes, until := book.CrashCount(fingerprint, now)
	return until, crashes >= book.limit
}

// Refused reports whether a suspect with that many crashes may not run, in a book made by New.
func Refused(crashes int) bool {
	return crashes >= limit
}

// Clear forgets a suspect that was answered in full since, unless it is refused.
func (book *Registry) Clear(fingerprint uint64) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if suspect, ok := book.suspects[fingerprint]; ok && len(suspect.Crashes) < book.limit {
		book.drop(fingerprint)
	}
}

// RemoveCrash forgets the crash, since the boot turned out to live: the upstream was cut off or paused.
func (book *Registry) RemoveCrash(crash Crash) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for fingerprint, suspect := range book.suspects {
		at := slices.Index(suspect.Crashes, crash)
		if at < 0 {
			continue
		}
		if len(suspect.Crashes) == 1 {
			book.drop(fingerprint)
			continue
		}
		suspect.Crashes = slices.Delete(slices.Clone(suspect.Crashes), at, at+1)
		book.suspects[fingerprint] = suspect
	}
}

// merge adds the crashes of the suspect to what is known. The mutex is held.
func (book *Registry) merge(suspect Suspect, now time.Time) Suspect {
	if !suspect.Until.After(now) {
		return suspect
	}
	known := book.suspects[suspect.Fingerprint]
	if known.Until.After(now) {
		suspect = book.union(known, suspect)
	} else {
		suspect.Crashes = book.distinct(nil, suspect.Crashes)
	}
	if len(suspect.Crashes) != len(known.Crashes) {
		book.turns.note(suspect.Fingerprint, book.refused(suspect))
	}
	if _, ok := book.suspects[suspect.Fingerprint]; !ok {
		book.makeRoom(now)
	}
	book.suspects[suspect.Fingerprint] = suspect
	return suspect
}

// union returns the suspect with the crashes of both and the later end.
func (book *Registry) union(a, b Suspect) Suspect {
	a.Crashes = book.distinct(a.Crashes, b.Crashes)
	if b.Until.After(a.Until) {
		a.Until = b.Until
	}
	return a
}

// distinct returns a new slice with the distinct crashes of both, at most the limit.
func (book *Registry) distinct(a, b []Crash) []Crash {
	all := slices.Clone(a)
	for _, crash := range b {
		if len(all) < book.limit && !slices.Contains(all, crash) {
			all = append(all, crash)
		}
	}
	return all
}

// makeRoom drops the suspect with the fewest crashes that is forgotten first, if the book is full.
func (book *Registry) makeRoom(now time.Time) {
	if len(book.suspects) < capacity {
		return
	}
	book.forget(now)
	if len(book.suspects) < capacity {
		return
	}
	var weakest Suspect
	found := false
	for _, suspect := range book.suspects {
		if !found || weaker(suspect, weakest) {
			weakest, found = suspect, true
		}
	}
	book.drop(weakest.Fingerprint)
}

// drop forgets a suspect. The mutex is held.
func (book *Registry) drop(fingerprint uint64) {
	delete(book.suspects, fingerprint)
	book.turns.always = slices.DeleteFunc(book.turns.always, func(known uint64) bool { return known == fingerprint })
}

// weaker reports whether a is dropped before b.
func weaker(a, b Suspect) bool {
	if len(a.Crashes) != len(b.Crashes) {
		return len(a.Crashes) < len(b.Crashes)
	}
	return a.Until.Before(b.Until)
}

// forget drops the suspects whose time is over.
func (book *Registry) forget(now time.Time) {
	for fingerprint, suspect := range book.suspects {
		if !suspect.Until.After(now) {
			book.drop(fingerprint)
		}
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
