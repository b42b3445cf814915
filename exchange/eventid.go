package exchange

import (
	"strconv"
	"strings"
)

// EventID is the ID of an event of a stream, or no ID. Replicas number the events of a stream in ascending order, the first of them with
// any number, also zero. The zero value is no ID; values can be compared with ==.
type EventID struct {
	// number is zero if known is not set.
	number uint64
	known  bool
}

// NewEventID returns the ID with the number.
func NewEventID(number uint64) EventID {
	return EventID{number: number, known: true}
}

// ParseEventID returns the ID that the text is, without the blanks around it, or none if it is no decimal number of 64 bits.
func ParseEventID(text string) EventID {
	number, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return EventID{}
	}
	return NewEventID(number)
}

// Known reports whether there is an ID.
func (id EventID) Known() bool { return id.known }

// Number returns the number of the ID, and whether there is one.
func (id EventID) Number() (number uint64, known bool) { return id.number, id.known }

// Covers reports whether the event with the other ID is this one or comes before it. It is false unless both IDs are known.
func (id EventID) Covers(other EventID) bool {
	return id.known && other.known && other.number <= id.number
}

// Or returns the ID, or the other one if there is none.
func (id EventID) Or(other EventID) EventID {
	if id.known {
		return id
	}
	return other
}

// MarshalLog returns what log lines show: the number, or "None".
func (id EventID) MarshalLog() any {
	if !id.known {
		return "None"
	}
	return id.number
}
