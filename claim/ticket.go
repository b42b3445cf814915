package claim

import "github.com/bronzestall/bronzestall/platform"

// Ticket is a claim that is held by one request.
type Ticket struct {
	// Key names the row.
	Key platform.Key
	// Attempt is the identifier of the request that holds the claim.
	Attempt string
	// Version is the version of the row as claimed, or zero if it has to be read.
	Version uint64
	// record is the content of the row.
	record record
}
