package platformfake

// rowsPerRead is the number of scanned rows that count as one read.
const rowsPerRead = 100

// Counts are the calls that reached the platform.
type Counts struct {
	// Reads counts row reads, and one for each 100 scanned rows or part of it.
	Reads int64
	// Writes counts transactions, conflicts included.
	Writes int64
	// Gets counts object reads.
	Gets int64
	// GetBytes is the sum of the sizes of the objects read.
	GetBytes int64
	// Puts counts object writes.
	Puts int64
	// PutBytes is the sum of the sizes of the objects written.
	PutBytes int64
	// Lists counts readings of the VM list.
	Lists int64
}

// Add returns the sum of both.
func (counts Counts) Add(other Counts) Counts {
	return counts.Sub(Counts{}.Sub(other))
}

// Sub returns the calls since an earlier reading.
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
