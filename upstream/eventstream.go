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

// The fields and the end marker of a stream of server-sent events.
var (
	idField   = []byte("id: ")
	dataField = []byte("data: ")
	endMarker = []byte("[DONE]")
)

// bufferSize is the length of the read buffer of one stream in bytes. Longer lines are assembled in lineBuffer.
const bufferSize = 4 << 10

// readerPool holds the read buffers of closed streams for reuse.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}

// eventStream is a streamed response.
type eventStream struct {
	*responseBody
	id string
	// idPrefix is the usual start of a piece of this request; comparing it avoids parsing the JSON.
	idPrefix []byte
	// lastIndex is the index of the last returned piece.
	lastIndex int
	reader    *bufio.Reader
	// data holds the payload of the current piece; it is reused.
	data []byte
	// lineBuffer holds a line that is longer than the buffer of reader; it is reused.
	lineBuffer []byte
	// endErr is the error that ended the stream, io.EOF after the end marker, or nil while the stream is open.
	endErr error
}

// newEventStream returns a stream whose first piece must have the index after+1.
func newEventStream(body *responseBody, id string, after int) *eventStream {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(body)
	return &eventStream{responseBody: body, id: id, idPrefix: []byte(`{"id":"` + id + `"`), lastIndex: after, reader: reader}
}

// Next returns the next piece, io.EOF after the end marker, or the error that ended the stream.
func (stream *eventStream) Next(ctx context.Context) (Piece, error) {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if stream.endErr != nil {
		return Piece{}, stream.endErr
	}
	if err := ctx.Err(); err != nil {
		return Piece{}, err
	}
	stream.ctx = ctx
	piece, err := stream.event()
	if err != nil {
		stream.endErr = err
	}
	return piece, err
}

// event reads one event and returns its piece. Comments are heartbeats and are skipped.
func (stream *eventStream) event() (Piece, error) {
	index := 0
	stream.data = stream.data[:0]
	for {
		line, err := stream.line()
		if err != nil {
			return Piece{}, stream.classify(err)
		}
		switch {
		case len(line) == 0 && len(stream.data) > 0:
			return stream.piece(index)
		case bytes.HasPrefix(line, dataField):
			if len(stream.data)+len(line) > maxPieceBytes {
				return Piece{}, fmt.Errorf("%w: piece is longer than %d bytes", ErrTruncated, maxPieceBytes)
			}
			stream.appendData(line[len(dataField):])
		case bytes.HasPrefix(line, idField):
			index = parseIndex(line[len(idField):])
		}
	}
}

// line returns the next line without its line ending. It is valid until the next call.
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

// longLine assembles a line that is longer than the buffer of reader. The first part of it is given.
func (stream *eventStream) longLine(part []byte) ([]byte, error) {
	stream.lineBuffer = append(stream.lineBuffer[:0], part...)
	for len(stream.lineBuffer) <= maxPieceBytes {
		part, err := stream.reader.ReadSlice('\n')
		stream.lineBuffer = append(stream.lineBuffer, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return stream.lineBuffer, err
		}
	}
	return nil, fmt.Errorf("%w: line is longer than %d bytes", ErrTruncated, maxPieceBytes)
}

// appendData adds one data line to the payload of the current piece.
func (stream *eventStream) appendData(part []byte) {
	if len(stream.data) > 0 {
		stream.data = append(stream.data, '\n')
	}
	stream.data = append(stream.data, part...)
}

// piece checks the event that was read and returns it as a piece.
func (stream *eventStream) piece(index int) (Piece, error) {
	if bytes.Equal(stream.data, endMarker) {
		stream.readTrailers()
		return Piece{}, io.EOF
	}
	if !stream.matchesRequest() {
		return Piece{}, fmt.Errorf("%w: piece %d", ErrMismatched, index)
	}
	if index != stream.lastIndex+1 {
		return Piece{}, fmt.Errorf("%w: piece %d follows piece %d", ErrTruncated, index, stream.lastIndex)
	}
	stream.lastIndex = index
	return Piece{Index: index, Data: stream.data, Tokens: 1}, nil
}

// matchesRequest reports whether the payload carries the identifier of the request.
func (stream *eventStream) matchesRequest() bool {
	if bytes.HasPrefix(stream.data, stream.idPrefix) {
		return true
	}
	var payload struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(stream.data, &payload) == nil && payload.ID == stream.id
}

// readTrailers reads the rest of the HTTP message, so that the trailers are available and the connection can
// be reused.
func (stream *eventStream) readTrailers() {
	const attempts = 4
	var buffer [64]byte
	for range attempts {
		if _, err := stream.reader.Read(buffer[:]); err != nil {
			return
		}
	}
}

// Close ends the generation on the engine unless it is complete. It may be called more than once.
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
	readerPool.Put(stream.reader)
	stream.reader = nil
	if stream.endErr == nil {
		stream.endErr = io.ErrClosedPipe
	}
	return nil
}

// parseIndex returns the index of an event, or zero if the text is not a decimal number or too large.
func parseIndex(text []byte) int {
	const maxIndex = 1 << 40
	index := 0
	for _, digit := range text {
		if digit < '0' || digit > '9' || index > maxIndex {
			return 0
		}
		index = index*10 + int(digit-'0')
	}
	return index
}
