package claim

import "github.com/bronzestall/bronzestall/datastore"

// change is one wish to write that may share its transaction with others.
type change struct {
	// writes are the parts; the first one names the row that the change is about.
	writes []datastore.Write
	// attempt is the attempt whose record stands in the row after the change.
	attempt string
	// applied reports whether the row shows that the change took effect.
	applied func(row datastore.Row, found bool) bool
	// done gets exactly one end.
	done chan end
}

// end is how a change ended.
type end struct {
	// version is the version of the row, or zero if it has to be read.
	version uint64
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
