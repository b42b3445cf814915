package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
)

// step is the scripted result of one attempt.
type step struct {
	err   error
	reply *exchange.Reply
	// noResponse makes the attempt block until it is cancelled.
	noResponse bool
	// trickle is what the body sends at each trickleInterval after the text, until the attempt is cancelled.
	trickle string
	// headAfter delays the response, and parts replaces its body; both end when the attempt is cancelled.
	headAfter time.Duration
	parts     []part
}

// part is a part of a body that is sent after the delay.
type part struct {
	after time.Duration
	text  string
}

// partedBody is a body of parts. It fails once the attempt is cancelled.
type partedBody struct {
	ctx   context.Context
	parts []part
	end   error
}

func (body *partedBody) Read(into []byte) (int, error) {
	if len(body.parts) == 0 {
		return 0, body.end
	}
	next := body.parts[0]
	body.parts = body.parts[1:]
	if !wait(body.ctx, next.after) {
		return 0, errors.Join(exchange.ErrLost, body.ctx.Err())
	}
	return copy(into, next.text), nil
}

func (body *partedBody) Close() error { return nil }

// wait waits for the time and reports whether the context has not ended.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// parted returns a step that streams the parts and ends with the error; io.EOF means that the stream is complete.
func parted(end error, parts ...part) step {
	next := answered(http.StatusOK, "", end)
	next.reply.EventStream, next.parts = true, parts
	return next
}

// replicas is an Upstream that returns the scripted steps in order and records the attempts.
type replicas struct {
	mutex    sync.Mutex
	steps    []step
	attempts []exchange.Attempt
	// sent and cancelled hold when each attempt was made, and when it was cancelled; zero if it was not.
	sent, cancelled []time.Time
}

func (replicas *replicas) Send(ctx context.Context, _ *exchange.Request, attempt exchange.Attempt) (*exchange.Reply, error) {
	replicas.mutex.Lock()
	at := len(replicas.attempts)
	replicas.attempts = append(replicas.attempts, attempt)
	replicas.sent, replicas.cancelled = append(replicas.sent, time.Now()), append(replicas.cancelled, time.Time{})
	replicas.mutex.Unlock()
	context.AfterFunc(ctx, func() {
		replicas.mutex.Lock()
		defer replicas.mutex.Unlock()
		replicas.cancelled[at] = time.Now()
	})
	if at >= len(replicas.steps) {
		return nil, exchange.ErrNotSent
	}
	next := replicas.steps[at]
	if next.noResponse {
		<-ctx.Done()
		return nil, errors.Join(exchange.ErrLost, ctx.Err())
	}
	if next.headAfter > 0 && !wait(ctx, next.headAfter) {
		return nil, errors.Join(exchange.ErrLost, ctx.Err())
	}
	if next.parts != nil {
		next.reply.Body = &partedBody{ctx, next.parts, next.reply.Body.(*endingBody).end}
	}
	if next.trickle != "" {
		next.reply.Body = &trickleBody{ctx: ctx, first: next.reply.Body, text: next.trickle}
	}
	return next.reply, next.err
}

// endingBody is a body that ends with the given error after the delay; io.EOF means that it is complete.
type endingBody struct {
	io.Reader
	end   error
	delay time.Duration
}

func (body *endingBody) Read(into []byte) (int, error) {
	n, err := body.Reader.Read(into)
	if err == io.EOF {
		time.Sleep(body.delay)
		err = body.end
	}
	return n, err
}

func (body *endingBody) Close() error { return nil }

func ok(text string) step { return answered(http.StatusOK, text, io.EOF) }

// answered returns a step with a response, which has the content type of a stream if its text begins with an event.
func answered(status int, text string, end error) step {
	return step{reply: &exchange.Reply{
		Status: status, Header: http.Header{}, Signed: true, Length: -1, EventStream: strings.HasPrefix(text, "id: "),
		Body: &endingBody{Reader: strings.NewReader(text), end: end},
	}}
}

// breaking returns a step that streams the text and breaks off after the delay.
func breaking(text string, after time.Duration) step {
	next := answered(http.StatusOK, text, errBroken)
	next.reply.Body.(*endingBody).delay = after
	return next
}

func rejected(misdirected bool) step {
	next := answered(http.StatusServiceUnavailable, "", io.EOF)
	next.reply.NotRun, next.reply.Misdirected = true, misdirected
	return next
}

var lost = step{err: exchange.ErrLost}

// errBroken is the error of a body that breaks off.
var errBroken = errors.New("reset")
