package quarantine

import (
	"slices"
	"sync"
	"time"
)

// The bounds of a Book.
const (
	// limit is the number of crashes after which a suspect is refused.
	limit = 2
	// Retention is how long a suspect is remembered after its last crash.
	Retention = 10 * time.Minute
	// capacity is the largest number of suspects.
	capacity = 4096
)

// Book holds the suspects of one data centre. It is safe for concurrent use.
type Book struct {
	mutex sync.Mutex
	// suspects has at most capacity entries.
	suspects map[uint64]Suspect
}

// New returns an empty book.
func New() *Book {
	return &Book{suspects: map[uint64]Suspect{}}
}

// Mark notes that the fingerprint was in flight during the crash and returns the suspect.
func (book *Book) Mark(fingerprint uint64, crash Crash, now time.Time) Suspect {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.merge(Suspect{Fingerprint: fingerprint, Crashes: []Crash{crash}, Until: now.Add(Retention)}, now)
}

// Import merges what another daemon exported.
func (book *Book) Import(suspects []Suspect, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for _, suspect := range suspects {
		suspect.Until = earlier(suspect.Until, now.Add(Retention))
		book.merge(suspect, now)
	}
}

// Export returns the suspects that are not forgotten yet.
func (book *Book) Export(now time.Time) []Suspect {
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

// Crashes returns the number of crashes of the fingerprint and when it is forgotten.
func (book *Book) Crashes(fingerprint uint64, now time.Time) (int, time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	suspect, ok := book.suspects[fingerprint]
	if !ok || !suspect.Until.After(now) {
		return 0, time.Time{}
	}
	return len(suspect.Crashes), suspect.Until
}

// Refused reports whether a suspect with that many crashes may not run.
func Refused(crashes int) bool {
	return crashes >= limit
}

// Clear forgets a suspect of one crash that was answered in full since.
func (book *Book) Clear(fingerprint uint64) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if suspect, ok := book.suspects[fingerprint]; ok && !Refused(len(suspect.Crashes)) {
		delete(book.suspects, fingerprint)
	}
}

// Absolve forgets the crash, since the boot turned out to live: the upstream was cut off or paused.
func (book *Book) Absolve(crash Crash) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	for fingerprint, suspect := range book.suspects {
		at := slices.Index(suspect.Crashes, crash)
		if at < 0 {
			continue
		}
		if len(suspect.Crashes) == 1 {
			delete(book.suspects, fingerprint)
			continue
		}
		suspect.Crashes = slices.Delete(slices.Clone(suspect.Crashes), at, at+1)
		book.suspects[fingerprint] = suspect
	}
}

// merge adds the crashes of the suspect to what is known. The mutex is held.
func (book *Book) merge(suspect Suspect, now time.Time) Suspect {
	if !suspect.Until.After(now) {
		return suspect
	}
	known := book.suspects[suspect.Fingerprint]
	if known.Until.After(now) {
		suspect = union(known, suspect)
	} else {
		suspect.Crashes = distinct(nil, suspect.Crashes)
	}
	if _, ok := book.suspects[suspect.Fingerprint]; !ok {
		book.makeRoom(now)
	}
	book.suspects[suspect.Fingerprint] = suspect
	return suspect
}

// union returns the suspect with the crashes of both and the later end.
func union(a, b Suspect) Suspect {
	a.Crashes = distinct(a.Crashes, b.Crashes)
	if b.Until.After(a.Until) {
		a.Until = b.Until
	}
	return a
}

// distinct returns a new slice with the distinct crashes of both, at most limit.
func distinct(a, b []Crash) []Crash {
	all := slices.Clone(a)
	for _, crash := range b {
		if len(all) < limit && !slices.Contains(all, crash) {
			all = append(all, crash)
		}
	}
	return all
}

// makeRoom drops the suspect with the fewest crashes that is forgotten first, if the book is full.
func (book *Book) makeRoom(now time.Time) {
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
	delete(book.suspects, weakest.Fingerprint)
}

// weaker reports whether a is dropped before b.
func weaker(a, b Suspect) bool {
	if len(a.Crashes) != len(b.Crashes) {
		return len(a.Crashes) < len(b.Crashes)
	}
	return a.Until.Before(b.Until)
}

// forget drops the suspects whose time is over.
func (book *Book) forget(now time.Time) {
	for fingerprint, suspect := range book.suspects {
		if !suspect.Until.After(now) {
			delete(book.suspects, fingerprint)
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
