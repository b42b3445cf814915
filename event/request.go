package event

import "github.com/bronzestall/bronzestall/outcome"

// refusals contains one event for each error kind, with the number from the table of package outcome.
var refusals = defineRefusals()

func defineRefusals() map[outcome.Kind]Event {
	events := map[outcome.Kind]Event{}
	for _, kind := range outcome.Kinds() {
		entry := kind.Entry()
		events[kind] = define(entry.Event, "Request"+entry.Name, Info, "A request ended as "+entry.Name+".")
	}
	return events
}

// Refusal returns the event of a request that ended with the error kind.
func Refusal(kind outcome.Kind) Event {
	return refusals[kind]
}

// RequestAnswered is the event of a request that was answered in full.
var RequestAnswered = define(390, "RequestAnswered", Info, "A request was answered in full.")
