package requestbody

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/outcome"
)

// retryAfterShort is the Retry-After value of a request whose body the budget has no room for.
const retryAfterShort = time.Second

// Limits bounds the body of a request.
type Limits struct {
	// Bytes is the largest length of the body.
	Bytes int64
	// Timeout is the time in which the whole body must arrive.
	Timeout time.Duration
	// Progress is the time in which minProgress more bytes, or the end, must arrive; zero means none.
	Progress time.Duration
	// Held bounds the bytes held of all bodies together; nil means no bound.
	Held *bytebudget.Budget
}

// Body is a body that was read whole. Close must be called once it is dropped.
type Body struct {
	// Content is the whole body.
	Content []byte
	held    *bytebudget.Account
}

// Close drops the body. It may be called on nil.
func (body *Body) Close() {
	if body != nil {
		body.held.Close()
	}
}

// Read reads the body of the request. It returns BodyTooLarge or DeadlineInQueue if the body exceeds the limits, NotReady if it was ended
// for want of room, and the failure broken, with the cause, if it cannot be read for another reason.
func Read(writer http.ResponseWriter, req *http.Request, clk clock.WithTicker, limits Limits, broken *outcome.Error) (*Body, *outcome.Error) {
	if req.ContentLength > limits.Bytes {
		Abandon(writer)
		return nil, tooLong(limits)
	}
	budget := limits.Held
	if budget == nil {
		budget = bytebudget.New(math.MaxInt64)
	}
	watch := newWatch(writer, clk, limits)
	held := budget.OpenBody(clientAddress(req), expectedBytes(req, limits), clk.Now(), watch.end)
	if req.ContentLength != 0 {
		watch.start()
	}
	reader := &progressReader{inner: http.MaxBytesReader(writer, req.Body, limits.Bytes), clock: clk, held: held, watch: watch}
	content, err := readWhole(reader, held, headBytes(req.Header))
	watch.stop(err == nil)
	if err == nil {
		return &Body{Content: content, held: held}, nil
	}
	held.Close()
	return nil, failureOf(writer, err, watch.cause(), limits, broken)
}

// readWhole reads to the end of the reader, after it drew on the account for the head. Both the pieces and the body that they are joined to
// count until the pieces are dropped.
func readWhole(reader io.Reader, held *bytebudget.Account, head int) ([]byte, error) {
	if err := held.Grow(head); err != nil {
		return nil, err
	}
	pieces, err := bytebudget.Read(reader, math.MaxInt64, held)
	if err != nil {
		return nil, err
	}
	if len(pieces) == 1 {
		return pieces[0], held.Keep()
	}
	length, capacity := 0, 0
	for _, piece := range pieces {
		length, capacity = length+len(piece), capacity+cap(piece)
	}
	if err := held.Grow(length); err != nil {
		return nil, err
	}
	content := slices.Concat(pieces...)
	held.Shrink(capacity)
	return content, held.Keep()
}

// failureOf returns why a body was not read. cause is why it was ended, if it was.
func failureOf(writer http.ResponseWriter, err, cause error, limits Limits, broken *outcome.Error) *outcome.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return tooLong(limits)
	case errors.Is(err, bytebudget.ErrShort) || errors.Is(cause, bytebudget.ErrShort):
		writer.Header().Set("Connection", "close")
		return outcome.New(outcome.NotReady, "the daemon holds too many bytes of requests").WithCause(bytebudget.ErrShort).WithRetryAfter(retryAfterShort)
	case errors.Is(err, os.ErrDeadlineExceeded) && errors.Is(cause, ErrStalled):
		writer.Header().Set("Connection", "close")
		return outcome.New(outcome.DeadlineInQueue, "the body made no progress for %v", limits.Progress).WithCause(ErrStalled)
	case errors.Is(err, os.ErrDeadlineExceeded):
		writer.Header().Set("Connection", "close")
		return outcome.New(outcome.DeadlineInQueue, "the deadline passed before the whole body came")
	}
	return broken.WithCause(err)
}

// tooLong returns the failure of a body that is larger than it may be.
func tooLong(limits Limits) *outcome.Error {
	return outcome.New(outcome.BodyTooLarge, "the body is larger than %d bytes", limits.Bytes)
}

// fieldBytes is what a header field takes in memory beside its text, in bytes: the entries of two maps, that of the request as it was sent
// and that of the copy that is passed on, each with a list of values.
const fieldBytes = 256

// headBytes returns about how many bytes the header takes in memory.
func headBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		total += len(name) + fieldBytes
		for _, value := range values {
			total += len(value)
		}
	}
	return total
}

// expectedBytes returns the length of the body, or the largest one if the client does not state it.
func expectedBytes(req *http.Request, limits Limits) int64 {
	if req.ContentLength >= 0 {
		return req.ContentLength
	}
	return limits.Bytes
}

// clientAddress returns the address of the client without its port.
func clientAddress(req *http.Request) string {
	host, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		return req.RemoteAddr
	}
	return host
}

// progressReader records the progress of a body.
type progressReader struct {
	inner io.Reader
	clock clock.PassiveClock
	held  *bytebudget.Account
	watch *watch
}

// Read reads the next part of the body.
func (reader *progressReader) Read(into []byte) (int, error) {
	n, err := reader.inner.Read(into)
	if n > 0 {
		reader.held.Received(n, reader.clock.Now())
		reader.watch.received.Add(int64(n))
	}
	return n, err
}
