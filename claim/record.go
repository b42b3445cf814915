package claim

import "time"

// record is the content of the row of a claim.
type record struct {
	// Fingerprint is the hash of the request that holds the key.
	Fingerprint uint64 `json:"Fingerprint"`
	// Attempt is the identifier of the request that inserted the row.
	Attempt string `json:"Attempt"`
	// Daemon is the name of the daemon that inserted the row.
	Daemon string `json:"Daemon"`
	// RunsUntil is the time after which the first sending is not expected to run any more.
	RunsUntil time.Time `json:"RunsUntil"`
	// Answer is the recorded answer, or nil while there is none.
	Answer *Answer `json:"Answer,omitempty"`
	// Object is the name of the object that holds the body, or empty if it is in Answer.
	Object string `json:"Object,omitempty"`
}
