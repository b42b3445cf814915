package requestbody

import (
	"io"
	"net/http"
	"time"

	"k8s.io/utils/clock"
)

// Drain reads and drops the body of a request that was refused, and reports whether it ended within the bytes and the timeout. If it did
// not, nothing more is read from the connection.
func Drain(writer http.ResponseWriter, req *http.Request, clk clock.WithTicker, most int64, timeout time.Duration) bool {
	watch := newWatch(writer, clk, Limits{Timeout: timeout})
	watch.start()
	_, err := io.Copy(io.Discard, http.MaxBytesReader(writer, req.Body, most))
	watch.stop(err == nil)
	return err == nil
}

// Abandon makes the server read nothing more of the body, and close the connection after the response.
func Abandon(writer http.ResponseWriter) {
	writer.Header().Set("Connection", "close")
	// Connections without support for deadlines occur in tests only.
	_ = http.NewResponseController(writer).SetReadDeadline(past)
}
