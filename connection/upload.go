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
// The operating system reports a broken connection once, to whoever uses the connection next. If that is the writer, the
// reader gets the same end as of a connection that the upstream closed in order.
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

// stop ends the writing and returns the failure of the connection that it was told of, or nil.
func (upload *upload) stop() error {
	// If the deadline cannot be set, the connection is closed, which ends the writing too.
	_ = upload.inner.SetWriteDeadline(pastDeadline)
	<-upload.ended
	if isBroken(upload.failure) {
		return upload.failure
	}
	return nil
}

// isBroken reports whether the error of a write means that the connection broke before the upstream had ended it: EPIPE means
// that the end came first.
func isBroken(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}
