package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// The parts of a stream of server-sent events.
var (
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	endMarker = []byte("[DONE]")
)

// bufferSize is the read buffer of one stream in bytes. Longer lines are put together elsewhere.
const bufferSize = 4 << 10

// readers holds the read buffers of streams that ended.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}

// eventStream is a streamed answer.
type eventStream struct {
	*body
	id string
	// opening is how a piece of this request usually begins.
	opening []byte
	// last is the index of the last piece that was returned.
	last   int
	reader *bufio.Reader
	// data holds the payload of the current piece; it is reused.
	data []byte
	// long holds a line that is longer than the buffer of reader.
	long []byte
	// over is the end of the stream once it is known.
	over error
}

func newEventStream(answer *body, id string, after int) *eventStream {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(answer)
	return &eventStream{body: answer, id: id, opening: []byte(`{"id":"` + id + `"`), last: after, reader: reader}
}

// Next returns the next piece, io.EOF after the end marker, or why there is none.
func (stream *eventStream) Next(ctx context.Context) (Piece, error) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if stream.over != nil {
		return Piece{}, stream.over
	}
	if err := ctx.Err(); err != nil {
		return Piece{}, err
	}
	stream.ctx = ctx
	piece, err := stream.event()
	if err != nil {
		stream.over = err
	}
	return piece, err
}

// event reads one event. Comments are heartbeats and are skipped.
func (stream *eventStream) event() (Piece, error) {
	index := 0
	stream.data = stream.data[:0]
	for {
		line, err := stream.line()
		if err != nil {
			return Piece{}, stream.named(err)
		}
		switch {
		case len(line) == 0 && len(stream.data) > 0:
			return stream.piece(index)
		case bytes.HasPrefix(line, dataField):
			if len(stream.data)+len(line) > maxPiece {
				return Piece{}, fmt.Errorf("%w: piece is longer than %d bytes", ErrTruncated, maxPiece)
			}
			stream.addData(line[len(dataField):])
		case bytes.HasPrefix(line, idField):
			index = parseIndex(line[len(idField):])
		}
	}
}

// line returns the next line without its end. It is valid until the next call.
func (stream *eventStream) line() ([]byte, error) {
	line, err := stream.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = stream.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// longLine puts a line together whose beginning fills the buffer.
func (stream *eventStream) longLine(part []byte) ([]byte, error) {
	stream.long = append(stream.long[:0], part...)
	for len(stream.long) <= maxPiece {
		part, err := stream.reader.ReadSlice('\n')
		stream.long = append(stream.long, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return stream.long, err
		}
	}
	return nil, fmt.Errorf("%w: line is longer than %d bytes", ErrTruncated, maxPiece)
}

func (stream *eventStream) addData(part []byte) {
	if len(stream.data) > 0 {
		stream.data = append(stream.data, '\n')
	}
	stream.data = append(stream.data, part...)
}

// piece checks the event that was read.
func (stream *eventStream) piece(index int) (Piece, error) {
	if bytes.Equal(stream.data, endMarker) {
		stream.finish()
		return Piece{}, io.EOF
	}
	if !stream.isOwn() {
		return Piece{}, fmt.Errorf("%w: piece %d", ErrMismatched, index)
	}
	if index != stream.last+1 {
		return Piece{}, fmt.Errorf("%w: piece %d follows piece %d", ErrTruncated, index, stream.last)
	}
	stream.last = index
	return Piece{Index: index, Data: stream.data, Tokens: 1}, nil
}

// isOwn reports whether the payload carries the identifier of the request.
func (stream *eventStream) isOwn() bool {
	if bytes.HasPrefix(stream.data, stream.opening) {
		return true
	}
	var payload struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(stream.data, &payload) == nil && payload.ID == stream.id
}

// finish reads the end of the connection's message, so that trailers are known and the connection can be reused.
func (stream *eventStream) finish() {
	const attempts = 4
	var rest [64]byte
	for range attempts {
		if _, err := stream.reader.Read(rest[:]); err != nil {
			return
		}
	}
}

// Close ends the generation on the engine unless it is complete.
func (stream *eventStream) Close() error {
	if !stream.mu.TryLock() {
		stream.cancel()
		stream.mu.Lock()
	}
	defer stream.mu.Unlock()
	if stream.reader == nil {
		return nil
	}
	stream.close()
	stream.reader.Reset(nil)
	readers.Put(stream.reader)
	stream.reader = nil
	if stream.over == nil {
		stream.over = io.ErrClosedPipe
	}
	return nil
}

// parseIndex returns the number, or zero if the text is none.
func parseIndex(text []byte) int {
	const most = 1 << 40
	index := 0
	for _, digit := range text {
		if digit < '0' || digit > '9' || index > most {
			return 0
		}
		index = index*10 + int(digit-'0')
	}
	return index
}
