package quarantine

import (
	"slices"
	"time"
)

// tellings is how often a daemon tells of a suspect that is not refused after each change of it. Daemons that each tell
// so many others reach all but a few.
const tellings = 8

// turns orders what a daemon tells others of: refused suspects again and again, and others a few times after each change.
type turns struct {
	// always holds the fingerprints of refused suspects, and fresh those of others, at most capacity, each in the order of
	// their turn. Of those that are forgotten since, some may still be there.
	always, fresh []uint64
	// told counts how often each of fresh was told since it last changed; it has the same fingerprints.
	told map[uint64]int
}

// note takes a suspect that changed.
func (turns *turns) note(fingerprint uint64, refused bool) {
	_, waits := turns.told[fingerprint]
	switch {
	case refused && !slices.Contains(turns.always, fingerprint):
		turns.always = append(turns.always, fingerprint)
	case !refused && !waits:
		turns.makeRoom()
		turns.fresh = append(turns.fresh, fingerprint)
	}
	if !refused {
		turns.told[fingerprint] = 0
	}
}

// makeRoom drops the one whose turn is next if there are too many.
func (turns *turns) makeRoom() {
	if len(turns.fresh) >= capacity {
		delete(turns.told, turns.fresh[0])
		turns.fresh = turns.fresh[1:]
	}
}

// nextAlways returns the refused suspect whose turn it is and moves it to the end.
func (turns *turns) nextAlways() uint64 {
	fingerprint := turns.always[0]
	turns.always = append(turns.always[1:], fingerprint)
	return fingerprint
}

// nextFresh returns the other suspect whose turn it is, and moves it to the end until it was told often enough.
func (turns *turns) nextFresh() uint64 {
	fingerprint := turns.fresh[0]
	turns.fresh = turns.fresh[1:]
	turns.told[fingerprint]++
	if turns.told[fingerprint] < tellings {
		turns.fresh = append(turns.fresh, fingerprint)
	} else {
		delete(turns.told, fingerprint)
	}
	return fingerprint
}

// Share returns at most so many suspects to tell another daemon of, and at least one: in turn those that are refused, so that
// a daemon which was cut off or has just started learns of them, and with what is left, a quarter at least, those that changed.
// Its cost does not grow with the number of suspects.
func (book *Registry) Share(most int, now time.Time) []Suspect {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var shared []Suspect
	for range min(len(book.turns.always), most-most/4) {
		shared = book.appendKnown(shared, book.turns.nextAlways(), now)
	}
	for range min(len(book.turns.fresh), max(most-len(shared), 0)) {
		shared = book.appendKnown(shared, book.turns.nextFresh(), now)
	}
	return shared
}

// appendKnown appends the suspect unless it is forgotten. The mutex is held.
func (book *Registry) appendKnown(shared []Suspect, fingerprint uint64, now time.Time) []Suspect {
	suspect, known := book.suspects[fingerprint]
	if !known || !suspect.Until.After(now) {
		book.drop(fingerprint)
		return shared
	}
	return append(shared, suspect)
}

func (book *Registry) refused(suspect Suspect) bool {
	return len(suspect.Crashes) >= book.limit
}
