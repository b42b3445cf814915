package requestbody

import (
	"net/http"
	"time"

	"k8s.io/utils/clock"
)

// past is a read deadline that has passed on any clock.
var past = time.Unix(1, 0)

// limitTime makes reads from the client fail with os.ErrDeadlineExceeded after the timeout, until the returned function is
// called. That function must be called once.
func limitTime(writer http.ResponseWriter, clk clock.WithTicker, timeout time.Duration) (stop func()) {
	controller := http.NewResponseController(writer)
	timer := clk.NewTimer(timeout)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-timer.C():
			// Connections without support for deadlines occur in tests only.
			_ = controller.SetReadDeadline(past)
		case <-done:
		}
	}()
	return func() {
		timer.Stop()
		close(done)
		<-ended
		_ = controller.SetReadDeadline(time.Time{})
	}
}
