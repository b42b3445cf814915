package quarantine

import "time"

// Suspect is a fingerprint with the crashes during which it was in flight.
type Suspect struct {
	// Fingerprint is the fingerprint of the request.
	Fingerprint uint64 `json:"Fingerprint"`
	// Crashes are distinct and at most limit.
	Crashes []Crash `json:"Crashes"`
	// Until is when the suspect is forgotten.
	Until time.Time `json:"Until"`
}
