package quarantine

import "time"

// Suspect is a fingerprint with the crashes during which its requests were in flight.
type Suspect struct {
	// Fingerprint identifies requests with the same content.
	Fingerprint uint64 `json:"Fingerprint"`
	// Crashes lists distinct crashes, at most the limit of the registry.
	Crashes []Crash `json:"Crashes"`
	// Until is when the suspect expires.
	Until time.Time `json:"Until"`
}
