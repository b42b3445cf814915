package catalogue

import "fmt"

// Fault tells why a change does not fit a catalogue.
type Fault string

// The closed list of faults.
const (
	// Exists is an addition of something that is there.
	Exists Fault = "is already in the catalogue"
	// Absent is a change or withdrawal of something that is not there.
	Absent Fault = "is not in the catalogue"
	// NoModel is an adapter of a model that is not there.
	NoModel Fault = "belongs to a model that is not in the catalogue"
	// HasAdapters is a withdrawal of a model that still has adapters.
	HasAdapters Fault = "still has adapters"
	// OutOfOrder is an entry of a snapshot that is not in order or stands twice.
	OutOfOrder Fault = "is out of order in the snapshot"
)

// ChangeError is a change that does not fit the catalogue.
type ChangeError struct {
	// Entry names the entry.
	Entry EntryName
	// Fault tells what is wrong with it.
	Fault Fault
}

// Error returns entry and fault.
func (failure *ChangeError) Error() string {
	return fmt.Sprintf("%s %s", failure.Entry, failure.Fault)
}
