package claim

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

// record is the value of the row of a claim.
type record struct {
	// Fingerprint is the hash of the request that claimed the key.
	Fingerprint uint64 `json:"Fingerprint"`
	// Attempt is the identifier of the request that inserted the row.
	Attempt string `json:"Attempt"`
	// Daemon is the incarnation of the daemon that inserted the row.
	Daemon string `json:"Daemon"`
	// RunsUntil is the time after which the first attempt is no longer running.
	RunsUntil time.Time `json:"RunsUntil"`
	// Answer is the recorded response, or nil while there is none.
	Answer *Response `json:"Answer,omitempty"`
}

// encode returns the value of the row.
func (record record) encode() []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic("claim: record cannot be encoded: " + err.Error())
	}
	return value
}

// decode returns the record in the value of a row.
func decode(value []byte) (record, error) {
	var decoded record
	err := json.Unmarshal(value, &decoded)
	return decoded, trace.Wrap(err)
}
