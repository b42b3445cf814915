package platform

// Counts are the calls since the start.
type Counts struct {
	// Reads counts rows read singly; a scan counts one for each 100 rows, at least one.
	Reads int
	// Commits counts transactions that were applied.
	Commits int
	// Conflicts counts transactions and objects that were refused by a condition.
	Conflicts int
	// Gets and Puts count calls of the object store.
	Gets, Puts int
	// Lists counts readings of the VM list.
	Lists int
	// Refused counts calls refused by a fault.
	Refused int
}
