package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// chunk is the number of bytes that are read at once.
	chunk = 4096
	// eventBytes bounds one event.
	eventBytes = 128 << 10
)

// errLongEvent is the failure of a stream with an event that is over eventBytes.
var errLongEvent = errors.New("an event of the stream is over the limit EventBytes of 131072 bytes")

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// splitter cuts what it reads into whole events. The zero value is ready to use.
type splitter struct {
	// buffer holds what was read; the first taken bytes were returned by the last call.
	buffer []byte
	taken  int
}

// next reads once and returns the whole events that are there, which stay valid until the next call. It fails if an
// event is over eventBytes.
func (splitter *splitter) next(reader io.Reader) ([]byte, error) {
	rest := copy(splitter.buffer, splitter.buffer[splitter.taken:])
	splitter.buffer = splitter.buffer[:rest]
	splitter.taken = 0
	if rest >= eventBytes {
		return nil, errLongEvent
	}
	if cap(splitter.buffer)-rest < chunk {
		grown := make([]byte, rest, 2*cap(splitter.buffer)+chunk)
		copy(grown, splitter.buffer)
		splitter.buffer = grown
	}
	n, err := reader.Read(splitter.buffer[rest : rest+chunk])
	splitter.buffer = splitter.buffer[:rest+n]
	if end := bytes.LastIndex(splitter.buffer, eventEnd); end >= 0 {
		splitter.taken = end + len(eventEnd)
	}
	return splitter.buffer[:splitter.taken], err
}

// tells reports whether the events say anything beyond comments, which only keep a connection open.
func tells(events []byte) bool {
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		if len(line) > 0 && line[0] != ':' {
			return true
		}
		events = rest
	}
	return false
}

// partial reports whether bytes of an incomplete event are left.
func (splitter *splitter) partial() bool {
	return splitter.taken < len(splitter.buffer)
}

// after returns the events whose numbers are above the last one that the client has, and the highest
// number. Events without a number pass.
func after(events []byte, last uint64) ([]byte, uint64) {
	first := uint64(0)
	if id, ok := eventID(events); ok {
		first = id
	}
	if first > last || last == 0 {
		return events, highest(events, last)
	}
	var fresh []byte
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd)
		if end < 0 {
			break
		}
		one := events[:end+len(eventEnd)]
		events = events[end+len(eventEnd):]
		id, numbered := eventID(one)
		if numbered && id <= last {
			continue
		}
		last = max(last, id)
		fresh = append(fresh, one...)
	}
	return fresh, last
}

// highest returns the number of the last event, or last if it has none.
func highest(events []byte, last uint64) uint64 {
	begin := bytes.LastIndex(bytes.TrimSuffix(events, eventEnd), eventEnd)
	if begin >= 0 {
		events = events[begin+len(eventEnd):]
	}
	if id, ok := eventID(events); ok {
		return max(last, id)
	}
	return last
}

// eventID returns the number of the first event, and whether it has one.
func eventID(event []byte) (uint64, bool) {
	for len(event) > 0 {
		line := event
		if end := bytes.IndexByte(event, '\n'); end >= 0 {
			line, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		if len(line) == 0 {
			return 0, false
		}
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
