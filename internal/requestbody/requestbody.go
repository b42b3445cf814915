package requestbody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/outcome"
)

// Limits bounds the body of a request.
type Limits struct {
	// Bytes is the largest length of the body.
	Bytes int64
	// Timeout is the time in which the whole body must arrive.
	Timeout time.Duration
}

// Read reads the body of the request. It returns BodyTooLarge or DeadlineInQueue if the body exceeds the limits, and the failure
// broken, with the cause, if it cannot be read for another reason.
func Read(writer http.ResponseWriter, req *http.Request, clk clock.WithTicker, limits Limits, broken *outcome.Error) ([]byte, *outcome.Error) {
	if req.ContentLength != 0 {
		stop := limitTime(writer, clk, limits.Timeout)
		defer stop()
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, req.Body, limits.Bytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, outcome.New(outcome.BodyTooLarge, "the body is larger than %d bytes", limits.Bytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		writer.Header().Set("Connection", "close")
		return nil, outcome.New(outcome.DeadlineInQueue, "the deadline passed before the whole body came")
	}
	return nil, broken.WithCause(err)
}
