// Package logpipe writes log lines without ever blocking who logs.
//
// Lines wait in a bounded ring and are written together by one goroutine. When
// the reader of the output stops reading, lines are dropped and counted.
package logpipe

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/bronzestall/bronzestall/ring"
)

const (
	// capacity is the number of lines that can wait.
	capacity = 4096
	// batchBytes is the size from which waiting lines are written at once.
	batchBytes = 32 << 10
	// batchTime is how long lines wait for others to be written with.
	batchTime = 50 * time.Millisecond
)

// Writer is an io.Writer of log lines. It is safe for concurrent use. Use New.
type Writer struct {
	out     io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// New returns a pipe to the writer. Lines are written once Run is called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: ring.New[[]byte](capacity)}
}

// Write takes one line. It never blocks or fails; without room the line is dropped.
func (pipe *Writer) Write(line []byte) (int, error) {
	if !pipe.lines.TryPut(bytes.Clone(line)) {
		pipe.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last call.
func (pipe *Writer) Dropped() int64 {
	return pipe.dropped.Swap(0)
}

// Run writes lines until the context ends, and then what still waits.
func (pipe *Writer) Run(ctx context.Context) error {
	for {
		line, err := pipe.lines.Take(ctx)
		if err != nil {
			pipe.drain()
			return err
		}
		pipe.collect(ctx, line)
	}
}

// collect waits a little for further lines and writes them together.
func (pipe *Writer) collect(ctx context.Context, line []byte) {
	timer := time.NewTimer(batchTime)
	defer timer.Stop()
	batch := line
	for len(batch) < batchBytes {
		select {
		case next := <-pipe.lines.Items():
			batch = append(batch, next...)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	pipe.write(batch)
}

// drain writes what waits, at most as many lines as can wait.
func (pipe *Writer) drain() {
	var batch []byte
	for range capacity {
		if pipe.lines.Len() == 0 {
			break
		}
		batch = append(batch, <-pipe.lines.Items()...)
	}
	pipe.write(batch)
}

// write writes a batch unless it is empty.
func (pipe *Writer) write(batch []byte) {
	if len(batch) > 0 {
		// There is nowhere to report a failure of the log itself.
		_, _ = pipe.out.Write(batch)
	}
}
