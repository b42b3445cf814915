package relay

import (
	"bytes"
	"errors"
	"io"
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

// partial reports whether the buffer holds bytes of an incomplete event.
func (splitter *splitter) partial() bool {
	return splitter.consumed < len(splitter.buffer)
}
