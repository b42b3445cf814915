package responsehead

import (
	"errors"
	"fmt"
)

// maxQuotedBytes bounds the part of a line that an error quotes.
const maxQuotedBytes = 80

// Error is the failure of bytes that are not the head of a response.
type Error struct {
	// Line is the beginning of the line that is not valid.
	Line string
}

// newError returns the failure of the line.
func newError(line []byte) *Error {
	return &Error{Line: string(line[:min(len(line), maxQuotedBytes)])}
}

// Error returns a message that quotes the line.
func (failure *Error) Error() string {
	return fmt.Sprintf("the head of the response has the invalid line %q", failure.Line)
}

// IsInvalid reports whether err is an Error.
func IsInvalid(err error) bool {
	var failure *Error
	return errors.As(err, &failure)
}
