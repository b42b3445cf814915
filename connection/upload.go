package connection

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// pastDeadline is a write deadline that has passed on any clock.
var pastDeadline = time.Unix(1, 0)

// upload writes the body of a request while the response is read. Use startUpload.
//
// The system reports that a connection broke once, to whoever uses it next. If that is the writer, the reader finds the same end as
// if the upstream had closed the connection in order.
type upload struct {
	inner net.Conn
	// ended is closed once the writing has ended.
	ended chan struct{}
	// failure is the error of the writing, set before ended is closed.
	failure error
}

// startUpload writes the body, and calls onFailure if that fails.
func startUpload(inner net.Conn, body []byte, onFailure func()) *upload {
	upload := &upload{inner: inner, ended: make(chan struct{})}
	go func() {
		_, upload.failure = inner.Write(body)
		close(upload.ended)
		if upload.failure != nil {
			onFailure()
		}
	}()
	return upload
}

// stop ends the writing and returns the failure of the connection that the writer was told of, or nil.
func (upload *upload) stop() error {
	// If the deadline cannot be set, the connection is closed, which ends the writing too.
	_ = upload.inner.SetWriteDeadline(pastDeadline)
	<-upload.ended
	if isBroken(upload.failure) {
		return upload.failure
	}
	return nil
}

// isBroken reports whether the error of a write means that the connection broke before the upstream had ended it. On Linux, a
// reset after that end gives EPIPE. Errors that are not the system's come from this process.
func isBroken(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
