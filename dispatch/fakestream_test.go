package dispatch

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// headerWait returns how long the header takes, and whether nothing is sent meanwhile.
func (stream *fakeStream) headerWait() (length time.Duration, silent bool) {
	engine := stream.engine
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if stream.next > 1 && engine.quietResumes > 0 {
		engine.quietResumes--
		return forever, true
	}
	return engine.quiet, stream.quietAt == 1
}

// fakeStream is one response of a fakeEngine.
type fakeStream struct {
	engine   *fakeEngine
	boot     string
	body     string
	next     int
	total    int
	breakAt  int
	breakErr error
	closed   bool
	// cuts is the value of the engine's cuts when the stream began.
	cuts int
	// quietAt is the piece before which the stream sends nothing for a while, or zero.
	quietAt   int
	onSilence func(context.Context)
	// done is closed when the stream is.
	done chan struct{}
}

// wait returns how long the next piece takes, and whether nothing is sent meanwhile, not even heartbeats.
func (stream *fakeStream) wait() (length time.Duration, silent bool) {
	engine := stream.engine
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if stream.cuts != engine.cuts {
		return forever, true
	}
	if stream.quietAt == stream.next {
		return engine.quiet, true
	}
	if frozen := time.Until(engine.frozen); frozen > engine.gap {
		return frozen, true
	}
	return engine.gap, false
}

// pause waits for the time. It reports the silence if there is any.
func (stream *fakeStream) pause(ctx context.Context, length time.Duration, silent bool) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	silence, received := context.WithCancel(ctx)
	defer received()
	if silent && stream.onSilence != nil {
		go stream.reportSilence(silence)
	}
	select {
	case <-timer.C:
		return nil
	case <-stream.done:
		return io.ErrClosedPipe
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// reportSilence reports the silence each silenceTimeout until it ends or the stream is closed.
func (stream *fakeStream) reportSilence(silence context.Context) {
	for {
		select {
		case <-time.After(silenceTimeout):
			stream.onSilence(silence)
		case <-silence.Done():
			return
		case <-stream.done:
			return
		}
	}
}

func (stream *fakeStream) Status() int                       { return 200 }
func (stream *fakeStream) ContentType() string               { return "text/plain" }
func (stream *fakeStream) Load() (upstream.LoadReport, bool) { return upstream.LoadReport{}, false }

func (stream *fakeStream) Next(ctx context.Context) (upstream.Piece, error) {
	length, silent := stream.wait()
	if err := stream.pause(ctx, length, silent); err != nil {
		return upstream.Piece{}, err
	}
	stream.engine.mutex.Lock()
	defer stream.engine.mutex.Unlock()
	if stream.engine.down || stream.engine.boot != stream.boot {
		return upstream.Piece{}, upstream.ErrTruncated
	}
	if stream.breakAt == stream.next {
		return upstream.Piece{}, stream.breakErr
	}
	if stream.next > stream.total {
		return upstream.Piece{}, io.EOF
	}
	piece := upstream.Piece{Index: stream.next, Data: fmt.Appendf(nil, "%s-%d", stream.body, stream.next), Tokens: 1}
	stream.next++
	return piece, nil
}

func (stream *fakeStream) Close() error {
	stream.engine.mutex.Lock()
	defer stream.engine.mutex.Unlock()
	if !stream.closed {
		stream.closed = true
		close(stream.done)
		stream.engine.active--
	}
	return nil
}
