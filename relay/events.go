package relay

import (
	"bytes"
	"iter"

	"github.com/bronzestall/bronzestall/exchange"
)

// The beginnings of the lines of an event stream that are told apart, as the HTML standard defines them for text/event-stream.
var (
	commentPrefix = []byte(":")
	idPrefix      = []byte("id:")
	retryPrefix   = []byte("retry:")
)

var (
	// lineEnd terminates a line.
	lineEnd = []byte("\n")
	// eventEnd terminates an event.
	eventEnd = []byte("\n\n")
)

// splitEvents returns the events in order, each with the blank line that ends it. A comment between two blank lines counts as an event.
// Further blank lines belong to the event after them, or are an event without lines.
func splitEvents(events []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(events) > 0 {
			end := bytes.Index(events, eventEnd)
			if end < 0 {
				return
			}
			length := end + len(eventEnd)
			if !yield(events[:length]) {
				return
			}
			events = events[length:]
		}
	}
}

// eventLines returns the lines of the events, without blank ones.
func eventLines(events []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(events) > 0 {
			line, rest, _ := bytes.Cut(events, lineEnd)
			if len(line) > 0 && !yield(line) {
				return
			}
			events = rest
		}
	}
}

// hasContent reports whether the events hold anything but comments, which replicas send only to keep a connection open, and times
// after which clients are to connect again.
func hasContent(events []byte) bool {
	for line := range eventLines(events) {
		if !bytes.HasPrefix(line, commentPrefix) && !bytes.HasPrefix(line, retryPrefix) {
			return true
		}
	}
	return false
}

// hasUnnumbered reports whether one of the events has content but no numeric ID.
func hasUnnumbered(events []byte) bool {
	for event := range splitEvents(events) {
		if !eventID(event).Known() && hasContent(event) {
			return true
		}
	}
	return false
}

// eventsAfter returns the events that a client at the position has not received, and its position after them. Events without an ID are
// kept. The result uses the array of the argument, whose content is lost.
func eventsAfter(events []byte, reached position) ([]byte, position) {
	fresh := events[:0]
	for event := range splitEvents(events) {
		id := eventID(event)
		if reached.last.Covers(id) {
			continue
		}
		reached = reached.after(event, id)
		fresh = append(fresh, event...)
	}
	return fresh, reached
}

// eventID returns the numeric ID of the event, if it has one. Of several IDs the last one counts.
func eventID(event []byte) exchange.EventID {
	var id exchange.EventID
	for line := range eventLines(event) {
		if value, found := bytes.CutPrefix(line, idPrefix); found {
			id = exchange.ParseEventID(string(value))
		}
	}
	return id
}
