package gateway

import (
	"fmt"
	"net/http"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
)

// recoverPanics logs a panic of a handler and responds with the error Internal. If the response has begun, it aborts it, so that
// what the caller has is no whole response. http.ErrAbortHandler is passed on to the server, which closes the connection.
func (gateway *Gateway) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, req *http.Request) {
		tracked := &beginWriter{ResponseWriter: writer}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			event.HandlerPanicked.LogError(fmt.Errorf("%v", cause), "Path", req.URL.Path)
			if tracked.begun {
				panic(http.ErrAbortHandler)
			}
			refuse(writer, newID(), outcome.New(outcome.Internal, "the daemon failed"))
		}()
		next.ServeHTTP(tracked, req)
	})
}

// beginWriter records whether the response has begun.
type beginWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the response, unless the status is informational.
func (writer *beginWriter) WriteHeader(status int) {
	writer.begun = writer.begun || status >= http.StatusOK
	writer.ResponseWriter.WriteHeader(status)
}

// Write begins the response and writes a part of its body.
func (writer *beginWriter) Write(part []byte) (int, error) {
	writer.begun = true
	return writer.ResponseWriter.Write(part)
}

// Flush begins the response and sends what was written.
func (writer *beginWriter) Flush() {
	writer.begun = true
	if flusher, ok := writer.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (writer *beginWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// refuseWith returns a handler that refuses every request with an error of the kind.
func (gateway *Gateway) refuseWith(kind outcome.Kind, message string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		id := newID()
		failure := outcome.New(kind, "%s", message)
		gateway.countRefusal("", "", failure)
		logRefusal(id, "", "", failure)
		refuse(writer, id, failure)
	})
}
