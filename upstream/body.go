package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// responseBody reads the response to one generation. Its watch reports silence during a read.
type responseBody struct {
	// parent is the context of the whole generation.
	parent   context.Context
	cancel   context.CancelFunc
	watch    *silenceWatch
	response *http.Response

	// mu is held during Next, so that Close waits for it to return.
	mu sync.Mutex
	// ctx is the context of the current call of Next.
	ctx context.Context
}

// Read reads from the connection. The caller holds mu.
func (body *responseBody) Read(part []byte) (int, error) {
	if body.ctx.Done() != nil && body.ctx.Done() != body.parent.Done() {
		stop := context.AfterFunc(body.ctx, body.cancel)
		defer stop()
	}
	body.watch.resume()
	n, err := body.response.Body.Read(part)
	if n > 0 {
		body.watch.received()
	} else {
		body.watch.pause()
	}
	return n, err
}

// classify returns the error of package upstream for a failed read.
func (body *responseBody) classify(err error) error {
	switch {
	case errors.Is(err, ErrTruncated):
		return err
	case body.ctx.Err() != nil:
		return context.Cause(body.ctx)
	case body.parent.Err() != nil:
		return context.Cause(body.parent)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%w: connection closed", ErrTruncated)
	default:
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
}

// close ends the generation. The connection is reused only if the response was read completely.
func (body *responseBody) close() {
	_ = body.response.Body.Close()
	body.cancel()
}

// Status returns the HTTP status of the response.
func (body *responseBody) Status() int {
	return body.response.StatusCode
}

// ContentType returns the content type of the response.
func (body *responseBody) ContentType() string {
	return body.response.Header.Get("Content-Type")
}

// Load returns the latest load report of the response and whether it has one. A trailer replaces the header.
func (body *responseBody) Load() (LoadReport, bool) {
	body.mu.Lock()
	defer body.mu.Unlock()
	if report, ok := parseLoad(body.response.Trailer.Get(loadHeader)); ok {
		return report, true
	}
	return parseLoad(body.response.Header.Get(loadHeader))
}

// parseLoad parses "running/waiting" and reports whether the text is valid.
func parseLoad(text string) (LoadReport, bool) {
	runningText, waitingText, found := strings.Cut(text, "/")
	running, runningErr := strconv.Atoi(runningText)
	waiting, waitingErr := strconv.Atoi(waitingText)
	valid := found && runningErr == nil && waitingErr == nil && running >= 0 && waiting >= 0
	return LoadReport{Running: running, Waiting: waiting}, valid
}
