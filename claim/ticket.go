package claim

import "github.com/bronzestall/bronzestall/datastore"

// Ticket is a claim that is held by one request.
type Ticket struct {
	// key names the row.
	key datastore.Key
	// version is the version of the row as claimed, or zero if it has to be read.
	version uint64
	// record is the content of the row as claimed.
	record record
}
