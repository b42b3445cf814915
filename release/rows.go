package release

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// The table of notes, its row in force, and the prefixes of its other rows.
const (
	table         = "Notes"
	rowInForce    = "InForce"
	prefixHistory = "History/"
	prefixID      = "Id/"
)

// inForceKey is the key of the row that holds the Entry in force.
var inForceKey = datastore.Key{Table: table, Row: rowInForce}

// historyKey is the key of the row that holds the Entry of a number. The padded number makes rows sort by number.
func historyKey(number uint64) datastore.Key {
	return datastore.Key{Table: table, Row: fmt.Sprintf("%s%012d", prefixHistory, number)}
}

// idKey is the key of the row that holds the Entry of a note's identifier.
func idKey(note string) datastore.Key {
	return datastore.Key{Table: table, Row: prefixID + note}
}

func decodeEntry(row datastore.Row) (Entry, error) {
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return Entry{}, trace.Wrap(err, "row %s/%s", row.Table, row.Row)
	}
	return entry, nil
}
