package platform

// Counts holds the counters since New.
type Counts struct {
	// Reads counts row reads. A scan counts as one, plus one for each full 100 rows.
	Reads int
	// Commits counts the applied transactions.
	Commits int
	// Conflicts counts transactions and object writes rejected because a condition was not met.
	Conflicts int
	// Gets and Puts count calls of the object store.
	Gets, Puts int
	// Lists counts calls of the VM list.
	Lists int
	// Refused counts calls refused by the fault Unavailable.
	Refused int
}
