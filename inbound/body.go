package inbound

import (
	"errors"
	"io"
)

// trackedBody is the body of a request. Its end makes the connection one that serves a request.
type trackedBody struct {
	io.ReadCloser
	tracked *trackedConn
}

// Read reads the next part of the body.
func (body *trackedBody) Read(into []byte) (int, error) {
	n, err := body.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		body.tracked.serving.Store(true)
	}
	return n, err
}
