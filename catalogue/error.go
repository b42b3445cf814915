package catalogue

import "fmt"

// Fault is the reason why a change does not fit a catalogue. In a message its text follows the name of the entry.
type Fault string

// The faults.
const (
	// Exists means that the entry to add is already in the catalogue.
	Exists Fault = "is already in the catalogue"
	// Absent means that the entry to change or withdraw is not in the catalogue.
	Absent Fault = "is not in the catalogue"
	// NoModel means that the model of the adapter to add is not in the catalogue.
	NoModel Fault = "belongs to a model that is not in the catalogue"
	// HasAdapters means that the model to withdraw still has adapters.
	HasAdapters Fault = "still has adapters"
	// OutOfOrder means that an entry of a snapshot is a duplicate or not in sorted order.
	OutOfOrder Fault = "is out of order in the snapshot"
)

// ChangeError reports an entry of a change or snapshot that does not fit the catalogue.
type ChangeError struct {
	// Entry is the kind and name of the entry.
	Entry EntryName
	// Fault is the reason.
	Fault Fault
}

// Error returns a message with the entry and the reason.
func (failure *ChangeError) Error() string {
	return fmt.Sprintf("%s %s", failure.Entry, failure.Fault)
}
