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

// body reads the answer to one generation and watches for silence while it reads.
type body struct {
	// parent bounds the whole generation.
	parent   context.Context
	cancel   context.CancelFunc
	watch    *silence
	response *http.Response

	// mu is held by Next, so that Close waits for it.
	mu sync.Mutex
	// ctx is the context of the Next that reads.
	ctx context.Context
}

// Read reads from the connection. It is called under mu.
func (b *body) Read(part []byte) (int, error) {
	if b.ctx.Done() != nil && b.ctx.Done() != b.parent.Done() {
		stop := context.AfterFunc(b.ctx, b.cancel)
		defer stop()
	}
	b.watch.listen()
	n, err := b.response.Body.Read(part)
	b.watch.rest()
	return n, err
}

// named names the failure of a read by its cause.
func (b *body) named(err error) error {
	switch {
	case errors.Is(err, ErrTruncated):
		return err
	case b.watch.fired.Load():
		return fmt.Errorf("%w: %w", ErrStalled, err)
	case b.ctx.Err() != nil:
		return context.Cause(b.ctx)
	case b.parent.Err() != nil:
		return context.Cause(b.parent)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%w: connection ended", ErrTruncated)
	default:
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
}

// close ends the exchange. The connection is reused only if the answer was read to its end.
func (b *body) close() {
	_ = b.response.Body.Close()
	b.cancel()
}

// Status is the HTTP status of the answer.
func (b *body) Status() int {
	return b.response.StatusCode
}

// ContentType is the content type of the answer.
func (b *body) ContentType() string {
	return b.response.Header.Get("Content-Type")
}

// Load returns the newest load report of the answer and whether there is one.
func (b *body) Load() (LoadReport, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if report, ok := parseLoad(b.response.Trailer.Get(loadHeader)); ok {
		return report, true
	}
	return parseLoad(b.response.Header.Get(loadHeader))
}

func parseLoad(text string) (LoadReport, bool) {
	left, right, found := strings.Cut(text, "/")
	running, err1 := strconv.Atoi(left)
	waiting, err2 := strconv.Atoi(right)
	valid := found && err1 == nil && err2 == nil && running >= 0 && waiting >= 0
	return LoadReport{Running: running, Waiting: waiting}, valid
}

func isNotSent(err error) bool {
	return errors.Is(err, ErrNotSent)
}
