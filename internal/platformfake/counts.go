package platformfake

// rowsPerRead is the number of scanned rows that count as one read.
const rowsPerRead = 100

// Counts holds the number of calls that reached the platform, by kind.
type Counts struct {
	// Reads counts row reads, and one for each started 100 scanned rows.
	Reads int64
	// Writes counts transactions, including those that failed with a conflict.
	Writes int64
	// Gets counts object reads.
	Gets int64
	// GetBytes is the sum of the sizes of the objects read.
	GetBytes int64
	// Puts counts object writes.
	Puts int64
	// PutBytes is the sum of the sizes of the objects written.
	PutBytes int64
	// Lists counts calls of the VM list.
	Lists int64
}

// Add returns the sum of the two counts.
func (counts Counts) Add(other Counts) Counts {
	return counts.Sub(Counts{}.Sub(other))
}

// Sub returns the calls made since the earlier counts were taken.
func (counts Counts) Sub(earlier Counts) Counts {
	return Counts{
		Reads:    counts.Reads - earlier.Reads,
		Writes:   counts.Writes - earlier.Writes,
		Gets:     counts.Gets - earlier.Gets,
		GetBytes: counts.GetBytes - earlier.GetBytes,
		Puts:     counts.Puts - earlier.Puts,
		PutBytes: counts.PutBytes - earlier.PutBytes,
		Lists:    counts.Lists - earlier.Lists,
	}
}
