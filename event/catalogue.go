package event

import (
	"fmt"
	"slices"
)

// catalogue contains all events by number. It is written only during package initialisation.
var catalogue = map[int]Event{}

// define adds an event to the catalogue. It panics if the number is already defined.
func define(number int, name string, severity Severity, meaning string) Event {
	if other, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event number %d is defined as %s and as %s", number, other.Name, name))
	}
	event := Event{Number: number, Name: name, Severity: severity, Meaning: meaning}
	catalogue[number] = event
	return event
}

// All returns the catalogue ordered by number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, event := range catalogue {
		all = append(all, event)
	}
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}
