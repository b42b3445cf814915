package quarantine

import (
	"slices"
	"time"
)

// Suspect is a fingerprint with the crashes during which its requests were in flight.
type Suspect struct {
	// Kind is what the fingerprint identifies.
	Kind Kind `json:"Kind,omitempty"`
	// Fingerprint identifies requests with the same content, or with the same part of a prompt.
	Fingerprint uint64 `json:"Fingerprint"`
	// Crashes lists the distinct crashes that count against it, at most the limit of the registry for its kind.
	Crashes []Crash `json:"Crashes"`
	// Cleared lists the crashes that full responses have offset, at most maxCleared. None of them is in Crashes.
	Cleared []Crash `json:"Cleared,omitempty"`
	// Retracted lists the crashes that turned out to be none, at most maxCleared. None of them is in Crashes.
	Retracted []Crash `json:"Retracted,omitempty"`
	// Times lists when the crashes were seen, in their order; it may be shorter. Registries keep it apart, and fill it in for
	// other daemons and the store.
	Times []CrashTime `json:"-"`
	// Until is when the suspect expires.
	Until time.Time `json:"Until"`
	// grown is when this daemon learned of the last crash.
	grown time.Time
}

// SameCounts reports whether both suspects have as many crashes that count, that were offset and that were retracted.
func (suspect *Suspect) SameCounts(other *Suspect) bool {
	return len(suspect.Crashes) == len(other.Crashes) && len(suspect.Cleared) == len(other.Cleared) && len(suspect.Retracted) == len(other.Retracted)
}

// stronger reports whether there is more evidence against this part than against the other: no response at all before more
// crashes. It is a strict order, so that two parts never explain each other's crashes.
func (suspect *Suspect) stronger(other *Suspect) bool {
	answered, otherAnswered := len(suspect.Cleared) > 0, len(other.Cleared) > 0
	if answered != otherAnswered {
		return otherAnswered
	}
	return len(suspect.Crashes) > len(other.Crashes)
}

// covered reports whether the other suspect has all crashes of this one.
func (suspect *Suspect) covered(other *Suspect) bool {
	for _, crash := range suspect.Crashes {
		if !slices.Contains(other.Crashes, crash) {
			return false
		}
	}
	return true
}
