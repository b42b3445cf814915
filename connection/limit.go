package connection

import (
	"fmt"
	"io"
	"math"

	"github.com/bronzestall/bronzestall/internal/responsehead"
)

// LimitError is the failure of a response that exceeds a limit.
type LimitError struct {
	// Limit is the name of the limit, and Bytes its value.
	Limit string
	Bytes int64
}

// Error returns a message with the name and the value of the limit.
func (failure *LimitError) Error() string {
	return fmt.Sprintf("answer is over the limit %s of %d bytes", failure.Limit, failure.Bytes)
}

// limitedReader reads up to a number of bytes, which is set anew for each part of a response, and checks the heads of responses.
type limitedReader struct {
	inner io.Reader
	limit LimitError
	// head checks the head of the response that is read.
	head responsehead.Scanner
	// remaining is the number of bytes that may still be read.
	remaining int64
	// received is set once any byte was read since it was cleared.
	received bool
}

// Read fails with a *LimitError once no bytes remain, and with a *responsehead.Error if the head is not valid.
func (limited *limitedReader) Read(into []byte) (int, error) {
	if limited.remaining <= 0 {
		failure := limited.limit
		return 0, &failure
	}
	n, err := limited.inner.Read(into[:min(int64(len(into)), limited.remaining)])
	limited.remaining -= int64(n)
	limited.received = limited.received || n > 0
	if invalid := limited.head.Scan(into[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// setLimit allows the number of bytes from now on, and readBufferBytes more, since the buffer may read ahead of the
// part.
func (limited *limitedReader) setLimit(limit string, bytes int64) {
	limited.limit = LimitError{Limit: limit, Bytes: bytes}
	limited.remaining = bytes + readBufferBytes
}

// removeLimit allows any number of bytes, for a body that its reader bounds.
func (limited *limitedReader) removeLimit() {
	limited.remaining = math.MaxInt64
}
