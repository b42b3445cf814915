package claim

import "github.com/bronzestall/bronzestall/datastore"

// Ticket is the claim of one request, which permits one attempt. Pass it to Complete, Lose or Release.
type Ticket struct {
	// key is the key of the row.
	key datastore.Key
	// version is the version of the row as claimed, or zero if it has to be read.
	version datastore.Version
	// record is the content of the row as claimed.
	record record
}
