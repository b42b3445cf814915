package connection

import (
	"fmt"
	"io"
	"math"
)

// LimitError is the failure of an answer that is longer than a limit allows.
type LimitError struct {
	// Limit names the limit, and Bytes is its value.
	Limit string
	Bytes int64
}

// Error returns the text of the failure.
func (failure *LimitError) Error() string {
	return fmt.Sprintf("answer is over the limit %s of %d bytes", failure.Limit, failure.Bytes)
}

// allowance reads until the bytes that a part of an answer may have are used up.
type allowance struct {
	inner io.Reader
	limit LimitError
	// left is the number of bytes that may still be read.
	left int64
}

// Read fails with a *LimitError once nothing is left.
func (allowed *allowance) Read(into []byte) (int, error) {
	if allowed.left <= 0 {
		failure := allowed.limit
		return 0, &failure
	}
	n, err := allowed.inner.Read(into[:min(int64(len(into)), allowed.left)])
	allowed.left -= int64(n)
	return n, err
}

// renew allows a number of bytes from now on, and what a read may take ahead.
func (allowed *allowance) renew(limit string, bytes int64) {
	allowed.limit = LimitError{Limit: limit, Bytes: bytes}
	allowed.left = bytes + readBuffer
}

// lift allows any number of bytes; what reads the body bounds it.
func (allowed *allowance) lift() {
	allowed.left = math.MaxInt64
}
