package relay

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

const (
	// chunkBytes is the number of bytes that are read at once.
	chunkBytes = 4096
	// maxEventBytes is the largest accepted event.
	maxEventBytes = 128 << 10
)

// errLongEvent is the failure of a stream with an event larger than maxEventBytes.
var errLongEvent = errors.New("an event of the stream is over the limit EventBytes of 131072 bytes")

// eventEnd terminates an event.
var eventEnd = []byte("\n\n")

// maxPooledBytes is the largest buffer that is kept for other streams.
const maxPooledBytes = 16 << 10

// splitters holds splitters whose streams have ended.
var splitters = sync.Pool{New: func() any { return &splitter{} }}

// newSplitter returns an empty splitter, which may have the buffer of another stream. Use release when the stream has ended.
func newSplitter() *splitter {
	return splitters.Get().(*splitter)
}

// release keeps the buffer for another stream. What next returned must not be used any more.
func (splitter *splitter) release() {
	if cap(splitter.buffer) > maxPooledBytes {
		return
	}
	splitter.buffer, splitter.consumed = splitter.buffer[:0], 0
	splitters.Put(splitter)
}

// splitter splits a byte stream into complete events. The zero value is ready to use.
type splitter struct {
	// buffer holds the bytes read so far; the first consumed bytes were returned by the last call of next.
	buffer   []byte
	consumed int
}

// next reads once and returns the complete events in the buffer, which stay valid until the next call. It fails if an
// event is larger than maxEventBytes.
func (splitter *splitter) next(reader io.Reader) ([]byte, error) {
	rest := copy(splitter.buffer, splitter.buffer[splitter.consumed:])
	splitter.buffer = splitter.buffer[:rest]
	splitter.consumed = 0
	if rest >= maxEventBytes {
		return nil, errLongEvent
	}
	if cap(splitter.buffer)-rest < chunkBytes {
		grown := make([]byte, rest, 2*cap(splitter.buffer)+chunkBytes)
		copy(grown, splitter.buffer)
		splitter.buffer = grown
	}
	n, err := reader.Read(splitter.buffer[rest : rest+chunkBytes])
	splitter.buffer = splitter.buffer[:rest+n]
	if end := bytes.LastIndex(splitter.buffer, eventEnd); end >= 0 {
		splitter.consumed = end + len(eventEnd)
	}
	return splitter.buffer[:splitter.consumed], err
}

// hasContent reports whether the events hold anything but comments, which replicas send only to keep a connection
// open.
func hasContent(events []byte) bool {
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		if len(line) > 0 && line[0] != ':' {
			return true
		}
		events = rest
	}
	return false
}

// partial reports whether the buffer holds bytes of an incomplete event.
func (splitter *splitter) partial() bool {
	return splitter.consumed < len(splitter.buffer)
}

// eventsAfter returns the events whose IDs are above last, and the highest ID. Events without an ID are kept.
func eventsAfter(events []byte, last uint64) ([]byte, uint64) {
	first := uint64(0)
	if id, ok := eventID(events); ok {
		first = id
	}
	if first > last || last == 0 {
		return events, lastEventID(events, last)
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

// hasUnnumbered reports whether one of the events has content but no numeric ID.
func hasUnnumbered(events []byte) bool {
	for len(events) > 0 {
		one, rest, _ := bytes.Cut(events, eventEnd)
		if _, numbered := eventID(one); !numbered && hasContent(one) {
			return true
		}
		events = rest
	}
	return false
}

// lastEventID returns the ID of the last event, or last if that is higher or the event has none.
func lastEventID(events []byte, last uint64) uint64 {
	begin := bytes.LastIndex(bytes.TrimSuffix(events, eventEnd), eventEnd)
	if begin >= 0 {
		events = events[begin+len(eventEnd):]
	}
	if id, ok := eventID(events); ok {
		return max(last, id)
	}
	return last
}

// eventID returns the ID of the first event, and whether it has a numeric one.
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
