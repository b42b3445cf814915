package gateway

import (
	"fmt"
	"net/http"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
)

// recoverPanics logs a panic of a handler and responds with the error Internal, which the caller can read only if
// the response has not started. http.ErrAbortHandler is passed on to the server, which closes the connection.
func (gateway *Gateway) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, req *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler {
				panic(cause)
			}
			event.HandlerPanicked.LogError(fmt.Errorf("%v", cause), "Path", req.URL.Path)
			refuse(writer, newID(), outcome.New(outcome.Internal, "the daemon failed"))
		}()
		next.ServeHTTP(writer, req)
	})
}

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
