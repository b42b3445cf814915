package relay

import (
	"bytes"
	"iter"
	"strconv"
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

// split returns the events in order, each with the blank line that ends it. Comments between two blank lines count as an event.
// Further blank lines belong to the event after them, or are an event without lines.
func split(events []byte) iter.Seq[[]byte] {
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
	for event := range split(events) {
		if _, numbered := eventID(event); !numbered && hasContent(event) {
			return true
		}
	}
	return false
}

// eventsAfter returns the events whose IDs are above last, and the highest ID. Events without an ID are kept. The result uses the
// array of the argument, whose content is lost.
func eventsAfter(events []byte, last uint64) ([]byte, uint64) {
	fresh := events[:0]
	for event := range split(events) {
		id, numbered := eventID(event)
		if numbered && last > 0 && id <= last {
			continue
		}
		last = max(last, id)
		fresh = append(fresh, event...)
	}
	return fresh, last
}

// eventID returns the ID of the event, and whether it has a numeric one. Of several IDs the last one counts.
func eventID(event []byte) (id uint64, numbered bool) {
	for line := range eventLines(event) {
		value, found := bytes.CutPrefix(line, idPrefix)
		if !found {
			continue
		}
		parsed, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		id, numbered = parsed, err == nil
	}
	if !numbered {
		return 0, false
	}
	return id, true
}
