package claim

import "github.com/bronzestall/bronzestall/datastore"

// change is a queued update of one row. It may share its transaction with other changes.
type change struct {
	// writes are the writes of the transaction; the first one is to the row that the change updates.
	writes []datastore.Write
	// attempt is the identifier of the attempt whose claim is changed.
	attempt string
	// applied reports whether the row, as read back, shows that the change took effect.
	applied func(row datastore.Row, found bool) bool
	// done receives exactly one result.
	done chan commitResult
}

// commitResult is the result of a change.
type commitResult struct {
	// version is the version of the row, or zero if it has to be read.
	version datastore.Version
	// err is nil, datastore.ErrConflict, datastore.ErrUnavailable or datastore.ErrUnclear.
	err error
}

// size returns the bytes that the change adds to a transaction.
func (change *change) size() int {
	total := 0
	for _, write := range change.writes {
		total += len(write.Row) + len(write.Value)
	}
	return total
}

// row returns the key of the row that the change is about.
func (change *change) row() datastore.Key {
	return change.writes[0].Key
}
